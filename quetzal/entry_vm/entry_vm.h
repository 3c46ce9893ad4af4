// The parts that the programs on an entry VM share: common settings, the list
// of VMs and the metrics page.
//
//   const EntryVmSettings vm = ReadEntryVmSettings(&reader, kCallTimeout);
//   PollVms(platform, kVmListInterval, [](const std::vector<Vm>& vms) { ... });
#ifndef QUETZAL_ENTRY_VM_ENTRY_VM_H_
#define QUETZAL_ENTRY_VM_ENTRY_VM_H_

#include <functional>
#include <string>
#include <vector>

#include "quetzal/http/http.h"
#include "quetzal/ids/ids.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/platform_client/platform_client.h"
#include "quetzal/settings/settings.h"

namespace quetzal {

struct EntryVmSettings {
  std::string name;
  FailureDomainId domain;
  std::string http_address;
  HttpPlatformClientSettings platform;
};

// Reads "name", "failure_domain", "http_address", "platform_address" and
// "platform_timeout_ms", whose default is `platform_timeout`.
EntryVmSettings ReadEntryVmSettings(ObjectReader* reader,
                                    Milliseconds platform_timeout);

// Requests the list of VMs now and every `period`. `on_vms` isn't called for a
// failed request, so the last list stays in use. `platform` must outlive the
// main loop.
void PollVms(PlatformClient* platform, Milliseconds period,
             std::function<void(const std::vector<Vm>& vms)> on_vms);

// All metrics as Prometheus text, including this process's RPC traffic.
HttpResponse MetricsPage(Metrics* metrics);

}  // namespace quetzal

#endif  // QUETZAL_ENTRY_VM_ENTRY_VM_H_
