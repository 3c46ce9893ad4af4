// A source of the GLib main loop that calls back when a descriptor is readable
// or a timer expires.
#ifndef QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_
#define QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_

#include <glib.h>

#include <functional>
#include <optional>

namespace quetzal::http_client_internal {

class ReadySource {
 public:
  using OnReady = std::function<void()>;
  ReadySource(int descriptor, OnReady on_ready);
  ~ReadySource();
  ReadySource(const ReadySource&) = delete;
  ReadySource& operator=(const ReadySource&) = delete;

  // On the monotonic clock; replaces the previous timer, which stays expired
  // until then.
  void SetTimer(std::optional<gint64> at_us);

 private:
  struct Source;
  bool IsTimerExpired() const;

  GSource* source_;
  gpointer watch_;  // of the descriptor
  std::optional<gint64> timer_us_;
  OnReady on_ready_;
};

}  // namespace quetzal::http_client_internal

#endif  // QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_
