#include "bench/support/virtual_cell.h"

namespace quetzal::bench {

Deployment TodaysDeployment() {
  Deployment d;
  d.workers = 48;
  d.worker_capacity = {.cpu_milli = 16'000, .memory_mib = 32'768};
  d.helpers = 6;
  d.teams = 6;
  d.classes = {{.name = "heavy",
                .per_second = 1.84,
                .worth = 12.4,
                .steps = {1.2, 0.4, 3},
                .width = {8, 0.8, 48},
                .run_ms = {4'000, 0.5, 10'000},
                .cpu_milli = {4'500, 0.4, 7'600},
                .memory_mib = {6'400, 0.5, 13'000},
                .task_time_deviation = 0.15,
                .estimate_deviation = 0.5,
                .gang_share = 1,
                .checkpoint_share = 0.5,
                .failure_share = 0.005,
                .priority = 1,
                .slack_factor = 2.2,
                .latency_target = Milliseconds(1'200),
                .advice = {300, 4.4, Milliseconds(2'500)},
                .allowed_share = 0.35},
               {.name = "wide",
                .per_second = 4.34,
                .worth = 3.27,
                .steps = {1.5, 0.4, 3.8},
                .width = {10, 0.8, 60},
                .run_ms = {3'400, 0.5, 8'400},
                .cpu_milli = {980, 0.45, 2'900},
                .memory_mib = {1'800, 0.6, 5'400},
                .task_time_deviation = 0.15,
                .estimate_deviation = 0.2,
                .checkpoint_share = 0.8,
                .one_per_worker_share = 0.12,
                .failure_share = 0.05,
                .priority = 2,
                .max_attempts = 3,
                .slack_factor = 4,
                .latency_target = Milliseconds(3'000),
                .advice = {62, 0.88, Milliseconds(2'500)},
                .allowed_share = 0.45},
               {.name = "quick",
                .per_second = 48.1,
                .worth = 0.414,
                .steps = {1, 0, 1},
                .width = {2, 0.8, 12},
                .run_ms = {640, 0.5, 1'600},
                .cpu_milli = {1'400, 0.45, 4'200},
                .memory_mib = {2'600, 0.6, 7'700},
                .task_time_deviation = 0.3,
                .estimate_deviation = 0.9,
                .gang_share = 0.3,
                .failure_share = 0.05,
                .slack_factor = 1.5,
                .latency_target = Milliseconds(600),
                .advice = {5.6, 0.08, Milliseconds(2'500)},
                .allowed_share = 0.7}};
  return d;
}

Deployment GrownDeployment() {
  Deployment d = TodaysDeployment();
  d.workers = 350;
  d.worker_capacity = {.cpu_milli = 16'000, .memory_mib = 65'536};
  d.helpers = 34;
  d.teams = 20;
  JobClass& heavy = d.classes[0];
  heavy.per_second = 4.29;
  heavy.worth = 8.87;
  heavy.width = {20, 0.8, 120};
  heavy.run_ms = {5'000, 0.5, 12'000};
  heavy.memory_mib = {9'100, 0.5, 18'000};
  heavy.task_time_deviation = 0.3;
  heavy.estimate_deviation = 0.2;
  heavy.max_attempts = 4;
  heavy.advice = {430, 6.2, Milliseconds(2'500)};
  JobClass& wide = d.classes[1];
  wide.per_second = 8.96;
  wide.worth = 2.65;
  wide.width = {25, 0.8, 150};
  wide.run_ms = {2'700, 0.5, 6'800};
  wide.cpu_milli = {1'700, 0.45, 5'200};
  wide.memory_mib = {5'000, 0.6, 15'000};
  wide.failure_share = 0.02;
  wide.max_attempts = 4;
  wide.advice = {100, 1.4, Milliseconds(2'500)};
  JobClass& quick = d.classes[2];
  quick.per_second = 80.3;
  quick.width = {3.2, 0.8, 19};
  quick.run_ms = {1'000, 0.5, 2'500};
  quick.cpu_milli = {2'500, 0.45, 7'400};
  quick.memory_mib = {9'100, 0.6, 27'000};
  quick.task_time_deviation = 0.15;
  quick.failure_share = 0.02;
  quick.max_attempts = 4;
  quick.advice = {11, 0.16, Milliseconds(2'500)};
  return d;
}

Deployment LargeDeployment() {
  Deployment d = GrownDeployment();
  d.workers = 540;
  d.helpers = 97;
  d.teams = 29;
  JobClass& heavy = d.classes[0];
  heavy.per_second = 8.33;
  heavy.worth = 4.61;
  heavy.width = {16, 0.8, 96};
  JobClass& wide = d.classes[1];
  wide.per_second = 11.1;
  wide.worth = 2.16;
  wide.width = {19, 0.8, 114};
  wide.cpu_milli = {2'800, 0.45, 8'400};
  JobClass& quick = d.classes[2];
  quick.per_second = 79;
  quick.worth = 0.426;
  quick.cpu_milli = {3'900, 0.45, 11'700};
  return d;
}

}  // namespace quetzal::bench
