// Serves the users' platform's store over HTTP from a store in memory. Leases
// expire by this process's clock.
#ifndef STANDINS_USERS_PLATFORM_STORE_FRONT_H_
#define STANDINS_USERS_PLATFORM_STORE_FRONT_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "quetzal/http/http.h"
#include "quetzal/store/testing/memory_store.h"

namespace quetzal::standin {

class StoreFront {
 public:
  // Returns false if it can't listen on the address.
  bool Listen(const std::string& address);
  // Writes a key as the operator or a worker would.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // While the store is down, every call is answered with 503.
  void SetDown(bool down) { down_ = down; }

 private:
  void OnRequest(HttpCallId call, const HttpRequest& request);
  void Read(HttpCallId call, const HttpRequest& request);
  void Range(HttpCallId call, const HttpRequest& request);
  void Watch(HttpCallId call, const HttpRequest& request);
  void Apply(HttpCallId call, const std::string& body);
  void GrantLease(HttpCallId call, const std::string& body);
  void RenewLease(HttpCallId call, const std::string& path);
  void RevokeLease(HttpCallId call, const std::string& path);
  void ExpireLeases();
  void Answer(HttpCallId call, int status, const nlohmann::json& body);

  struct Lease {
    Milliseconds ttl{0};
    Time expires_at;
  };

  std::unique_ptr<HttpServer> server_;
  testing::MemoryStore store_{[](const std::function<void()>& f) { f(); }};
  std::map<LeaseId, Lease> leases_;
  bool down_ = false;
};

}  // namespace quetzal::standin

#endif  // STANDINS_USERS_PLATFORM_STORE_FRONT_H_
