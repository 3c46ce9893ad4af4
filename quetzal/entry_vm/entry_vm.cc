#include "quetzal/entry_vm/entry_vm.h"

#include <optional>
#include <utility>

#include "quetzal/program/program.h"
#include "quetzal/rpc/rpc.h"

namespace quetzal {
namespace {

constexpr int64_t kMinPlatformTimeoutMs = 10;

}  // namespace

EntryVmSettings ReadEntryVmSettings(ObjectReader* reader,
                                    Milliseconds platform_timeout) {
  EntryVmSettings settings;
  settings.name = reader->Text("name");
  settings.domain = FailureDomainId(reader->Text("failure_domain"));
  settings.http_address = reader->Text("http_address");
  settings.platform.address = reader->Text("platform_address");
  settings.platform.call_timeout = Milliseconds(reader->Integer(
      "platform_timeout_ms", {.min = kMinPlatformTimeoutMs,
                              .default_value = platform_timeout.count()}));
  return settings;
}

void PollVms(PlatformClient* platform, Milliseconds period,
             std::function<void(const std::vector<Vm>& vms)> on_vms) {
  const auto request_vms = [platform, on_vms = std::move(on_vms)] {
    platform->ListVms([on_vms](const std::optional<std::vector<Vm>>& vms) {
      if (vms) on_vms(*vms);
    });
  };
  request_vms();
  RunEvery(period, request_vms);
}

HttpResponse MetricsPage(Metrics* metrics) {
  const RpcTraffic traffic = TotalTraffic();
  metrics->Set("quetzal_rpc_sent_bytes", {},
               static_cast<double>(traffic.sent_bytes));
  metrics->Set("quetzal_rpc_received_bytes", {},
               static_cast<double>(traffic.received_bytes));
  return {.body = metrics->Render(), .content_type = "text/plain"};
}

}  // namespace quetzal
