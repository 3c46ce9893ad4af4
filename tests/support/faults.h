// The steps and the faults of the fault matrix, and what strikes them.
//
//   Striker striker(&world, {{step, fault}}, seed);
//   world.Run(...);
//   striker.strikes();  // how often a fault struck
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
  Milliseconds after{0};       // the fault strikes so long after it
  bool while_waiting = false;  // only while work waits in a queue
};

struct Fault {
  std::string name;
  // What becomes of the message itself.
  MessageFate fate = MessageFate::kDeliver;
  // Strikes; heals by what it schedules. May be empty.
  std::function<void(World* world, const MessageView& message)> strike;
  // Which ends it needs to be processes of ours.
  bool needs_sender = false;
  bool needs_receiver = false;
  bool needs_message = false;  // the fault befalls a message on the way
};

struct Strike {
  Step step;
  Fault fault;
};

const std::vector<Step>& AllSteps();
const std::vector<Fault>& AllFaults();
// False where the step has no such end, or no message to lose.
bool Applies(const Step& step, const Fault& fault);
// One or two steps and faults, fixed by the seed.
std::vector<Strike> RandomStrikes(int seed);

// Strikes each fault once or a few times at its step.
class Striker {
 public:
  Striker(World* world, std::vector<Strike> strikes, uint64_t seed);
  size_t strikes() const { return struck_; }

 private:
  struct Armed {
    Strike strike;
    int skip = 0;  // occurrences of the step to let pass
    bool done = false;
  };

  MessageFate OnMessage(const MessageView& message);

  World* world_;
  std::vector<Armed> armed_;
  size_t struck_ = 0;
};

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_FAULTS_H_
