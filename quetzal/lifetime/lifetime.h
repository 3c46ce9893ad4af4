// Keeps callbacks from using an object that was destroyed.
//
//   class Watcher {
//     void Read() {
//       store_->Read(key, lifetime_.Guard<Answer>([this](const Answer&) {}));
//     }
//     Lifetime lifetime_;  // declared last, so that it is destroyed first
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

  // Returns a function that calls `callback`, or does nothing once this object
  // is destroyed.
  template <typename Argument>
  std::function<void(const Argument&)> Guard(
      std::function<void(const Argument&)> callback) const {
    return [token = std::weak_ptr<bool>(token_),
            callback = std::move(callback)](const Argument& argument) {
      if (token.lock()) callback(argument);
    };
  }
  std::function<void()> Guard(std::function<void()> callback) const {
    return
        [token = std::weak_ptr<bool>(token_), callback = std::move(callback)] {
          if (token.lock()) callback();
        };
  }

 private:
  std::shared_ptr<bool> token_ = std::make_shared<bool>(true);
};

}  // namespace quetzal

#endif  // QUETZAL_LIFETIME_LIFETIME_H_
