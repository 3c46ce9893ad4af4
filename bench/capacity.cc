// Cost per item for docs/CAPACITY.md: heap, processor time and bytes by the
// number of workers, running tasks, waiting tasks and records, each at three
// sizes.
#include <malloc.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdio>
#include <ctime>

#include "bench/support/virtual_domain.h"
#include "quetzal/record_store/record_store.h"

namespace quetzal::bench {
namespace {

double HeapKib() { return static_cast<double>(mallinfo2().uordblks) / 1024; }

double CpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

VirtualDomainSettings Domain(int workers) {
  return {
      .workers = workers,
      .capacity = {.cpu_milli = 64'000, .memory_mib = 262'144, .slots = 64}};
}

// An idle domain: only contract renewals and ticks.
void MeasureWorkers() {
  constexpr double kSeconds = 60;
  std::printf("%8s %12s %14s %14s %14s\n", "workers", "heap KiB", "cpu us/s",
              "messages/s", "bytes/s");
  for (const int workers : {90, 180, 360}) {
    const double heap = HeapKib();
    PlacerSettings placer;
    VirtualDomain domain(Domain(workers), placer, {{"a", 1}});
    const double used = HeapKib() - heap;
    const uint64_t messages = domain.sent_messages();
    const uint64_t bytes = domain.sent_bytes();
    const double cpu = CpuMicroseconds();
    domain.RunUntil(domain.now() +
                    Milliseconds(static_cast<int64_t>(kSeconds * 1'000)));
    std::printf(
        "%8d %12.0f %14.0f %14.1f %14.0f\n", workers, used,
        (CpuMicroseconds() - cpu) / kSeconds,
        static_cast<double>(domain.sent_messages() - messages) / kSeconds,
        static_cast<double>(domain.sent_bytes() - bytes) / kSeconds);
  }
}

void MeasureTasks(bool running) {
  std::printf("%8s %12s %14s\n", running ? "running" : "waiting", "heap KiB",
              "cpu us/s");
  for (const int tasks : {1'500, 3'000, 6'300}) {
    PlacerSettings placer;
    VirtualDomain domain(Domain(360), placer, {{"a", 1}, {"b", 1}});
    const double heap = HeapKib();
    constexpr uint32_t kTasks = 300;
    for (int i = 0; i < tasks / static_cast<int>(kTasks); ++i) {
      domain.Submit(
          {.team = i % 2 == 0 ? "a" : "b",
           .work_class = wire::WORK_CLASS_BATCH,
           .tasks = kTasks,
           .size = {.cpu_milli = running ? 1'000 : 64'001, .memory_mib = 1'024},
           .run = Milliseconds(36'000'000)});
      domain.RunUntil(domain.now() + Milliseconds(200));
    }
    domain.RunUntil(domain.now() + Milliseconds(5'000));
    const double used = HeapKib() - heap;
    constexpr double kSeconds = 30;
    const double cpu = CpuMicroseconds();
    domain.RunUntil(domain.now() +
                    Milliseconds(static_cast<int64_t>(kSeconds * 1'000)));
    std::printf("%8zu %12.0f %14.0f\n",
                running ? domain.Status().attempts : domain.Status().waiting,
                used, (CpuMicroseconds() - cpu) / kSeconds);
  }
}

void MeasureRecords() {
  std::printf("%8s %12s %14s %14s\n", "records", "heap KiB", "us a change",
              "bytes a change");
  for (const int records : {600, 1'200, 2'400}) {
    const double heap = HeapKib();
    RecordStore store;
    const double cpu = CpuMicroseconds();
    size_t bytes = 0;
    for (int i = 1; i <= records; ++i) {
      wire::RecordUpdate update;
      update.set_base(static_cast<uint64_t>(i) - 1);
      update.set_revision(static_cast<uint64_t>(i));
      wire::RecordChange* const change = update.add_changes();
      change->set_revision(static_cast<uint64_t>(i));
      change->set_path("key/k" + std::to_string(i));
      change->set_value(
          R"({"schema":"v2","kind":"key","name":"k)" + std::to_string(i) +
          R"(","team":"t","digest":"sha256:)" + std::string(58, 'a') +
          std::to_string(100'000 + i) + "\"}");
      bytes += update.ByteSizeLong();
      store.Apply(update, Time(Milliseconds(i)));
    }
    std::printf("%8d %12.0f %14.1f %14zu\n", records, HeapKib() - heap,
                (CpuMicroseconds() - cpu) / records,
                bytes / static_cast<size_t>(records));
  }
}

}  // namespace
}  // namespace quetzal::bench

int main(int argc, char** argv) {
  TCLAP::CmdLine line("Slopes for the capacity page", ' ', "0.1.0");
  line.parse(argc, argv);
  quetzal::bench::MeasureWorkers();
  quetzal::bench::MeasureTasks(true);
  quetzal::bench::MeasureTasks(false);
  quetzal::bench::MeasureRecords();
  return 0;
}
