#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>

#include <chrono>
#include <memory>
#include <optional>

#include "quetzal/http_client/http_client.h"
#include "quetzal/http_client/testing/loopback_servers.h"

namespace quetzal {
namespace {

using testing::SlowServer;

constexpr gint64 kTimeoutUs = 10'000'000;

class HttpClientStallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientStallTest);
  CPPUNIT_TEST(AStalledResponseEndsBeforeItsTimeout);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AStalledResponseEndsBeforeItsTimeout() {
    const SlowServer server(2, 30, std::chrono::milliseconds(10));
    const HttpClientResult answer =
        Answer({.url = server.url(),
                .timeout = Milliseconds(8'000),
                .stall_timeout = Milliseconds(2'000)});
    CPPUNIT_ASSERT(answer.kind == HttpClientResult::Kind::kNoAnswer);
    CPPUNIT_ASSERT(answer.took >= Milliseconds(1'900));
    CPPUNIT_ASSERT(answer.took <= Milliseconds(5'000));
    client_.reset();
  }

 private:
  HttpClientResult Answer(const HttpClientRequest& call) {
    std::optional<HttpClientResult> result;
    client_->Send(call,
                  [&](const HttpClientResult& answer) { result = answer; });
    const gint64 until = g_get_monotonic_time() + kTimeoutUs;
    while (!result && g_get_monotonic_time() < until) {
      g_main_context_iteration(nullptr, FALSE);
    }
    CPPUNIT_ASSERT(result.has_value());
    return *result;
  }

  std::unique_ptr<HttpClient> client_ = HttpClient::Create({});
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientStallTest);

}  // namespace
}  // namespace quetzal
