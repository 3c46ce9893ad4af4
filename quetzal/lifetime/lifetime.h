// Keeps callbacks from acting on an object that is gone.
//
//   class Follower {
//     void Ask() { store_->Read(key, lifetime_.Guard<Answer>([this](...) {}));
//     } Lifetime lifetime_;  // a member: its end is the object's
//   };
#ifndef QUETZAL_LIFETIME_LIFETIME_H_
#define QUETZAL_LIFETIME_LIFETIME_H_

#include <functional>
#include <memory>
#include <utility>

namespace quetzal {

class Lifetime {
 public:
  Lifetime() = default;
  Lifetime(const Lifetime&) = delete;
  Lifetime& operator=(const Lifetime&) = delete;

  // `callback`, without effect once this lifetime is over.
  template <typename Answer>
  std::function<void(const Answer&)> Guard(
      std::function<void(const Answer&)> callback) const {
    return [token = std::weak_ptr<bool>(token_),
            callback = std::move(callback)](const Answer& answer) {
      if (token.lock()) callback(answer);
    };
  }
  std::function<void()> Guard(std::function<void()> step) const {
    return [token = std::weak_ptr<bool>(token_), step = std::move(step)] {
      if (token.lock()) step();
    };
  }

 private:
  std::shared_ptr<bool> token_ = std::make_shared<bool>(true);
};

}  // namespace quetzal

#endif  // QUETZAL_LIFETIME_LIFETIME_H_
