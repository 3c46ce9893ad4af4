// Relays HTTP calls to another address. A rule decides what happens to each
// call, so that a case can have calls refused, lost or executed late.
//
//   Relay relay(client, "127.0.0.1:7001");
//   relay.Listen("127.0.0.1:7002");
//   relay.SetRule([](const HttpRequest&) { return Treatment::Refuse(); });
#ifndef REVIEW_STANDINS_2_RELAY_H_
#define REVIEW_STANDINS_2_RELAY_H_

#include <functional>
#include <memory>
#include <string>

#include "quetzal/http/http.h"
#include "quetzal/http_client/http_client.h"

namespace quetzal::review {

struct Treatment {
  enum class Kind {
    kForward,
    kRefuse,  // answered with 503; nothing is done
    kLose,    // executed after `delay`, and not answered
  };
  Kind kind = Kind::kForward;
  Milliseconds delay{0};

  static Treatment Forward() { return {}; }
  static Treatment Refuse() { return {.kind = Kind::kRefuse}; }
  static Treatment ExecuteLate(Milliseconds delay) {
    return {.kind = Kind::kLose, .delay = delay};
  }
};

class Relay {
 public:
  using Rule = std::function<Treatment(const HttpRequest&)>;
  using Observer =
      std::function<void(const HttpRequest&, const HttpClientResult&)>;

  Relay(HttpClient* client, std::string target)
      : client_(client), target_(std::move(target)) {}

  // False if the address can't be listened on.
  bool Listen(const std::string& address);
  // Without a rule all calls are forwarded.
  void SetRule(Rule rule) { rule_ = std::move(rule); }
  // Is told of each call that was executed, with its answer.
  void SetObserver(Observer observer) { observer_ = std::move(observer); }

 private:
  void OnRequest(HttpCallId call, const HttpRequest& request);
  void Forward(const HttpRequest& request, const HttpClient::Callback& done);

  HttpClient* client_;
  std::string target_;
  Rule rule_;
  Observer observer_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace quetzal::review

#endif  // REVIEW_STANDINS_2_RELAY_H_
