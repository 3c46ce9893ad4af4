// The steps and faults of the fault matrix, and the injector that applies the
// faults to a `World`.
//
//   FaultInjector injector(&world, {{step, fault}}, seed);
//   world.Run(...);
//   injector.injected_count();  // faults injected so far
#ifndef TESTS_SUPPORT_FAULTS_H_
#define TESTS_SUPPORT_FAULTS_H_

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "tests/support/world.h"

namespace quetzal::testing {

// A step is the moment at which a message of one kind leaves a process.
struct Step {
  std::string name;
  std::string kind;            // of the message
  Milliseconds after{0};       // delay from the message to the fault
  bool while_waiting = false;  // only while work waits in a queue
};

struct Fault {
  std::string name;
  // What happens to the message itself.
  MessageFate fate = MessageFate::kDeliver;
  // Injects the fault and schedules its repair. May be empty.
  std::function<void(World* world, const MessageView& message)> inject;
  // Whether the sender or receiver must be a process of the world: an entry,
  // a placer or a worker.
  bool needs_sender = false;
  bool needs_receiver = false;
  bool needs_message = false;  // the fault affects a message in transit
};

struct PlannedFault {
  Step step;
  Fault fault;
};

const std::vector<Step>& AllSteps();
const std::vector<Fault>& AllFaults();
// False if the step lacks the sender, receiver or message in transit that the
// fault needs.
bool IsApplicable(const Step& step, const Fault& fault);
// Two pairs of a step and a fault, determined by the seed.
std::vector<PlannedFault> RandomFaults(int seed);

// Injects each planned fault once, at an occurrence of its step.
class FaultInjector {
 public:
  FaultInjector(World* world, std::vector<PlannedFault> planned_faults,
                uint64_t seed);
  size_t injected_count() const { return injected_count_; }

 private:
  struct Armed {
    PlannedFault planned;
    int skip = 0;  // occurrences of the step to let pass
    bool done = false;
  };

  MessageFate OnMessage(const MessageView& message);

  World* world_;
  std::vector<Armed> armed_;
  size_t injected_count_ = 0;
};

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_FAULTS_H_
