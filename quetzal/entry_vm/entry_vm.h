// What the programs of an entry VM do alike: settings they share, the list of
// VMs, the metrics page.
//
//   const EntryVmSettings vm = ReadEntryVmSettings(&reader, kCallTimeout);
//   PollVms(platform, kVmListEvery, [](const std::vector<Vm>& vms) { ... });
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
// "platform_timeout_ms", which is `platform_timeout` if absent.
EntryVmSettings ReadEntryVmSettings(ObjectReader* reader,
                                    Milliseconds platform_timeout);

// Asks for the list of VMs now and every `period`. Lists that could not be had
// are passed over: what was known stays. `platform` must outlive the main loop.
void PollVms(PlatformClient* platform, Milliseconds period,
             std::function<void(const std::vector<Vm>& vms)> on_vms);

// All metrics as Prometheus text, the traffic of this process included.
HttpResponse MetricsPage(Metrics* metrics);

}  // namespace quetzal

#endif  // QUETZAL_ENTRY_VM_ENTRY_VM_H_
