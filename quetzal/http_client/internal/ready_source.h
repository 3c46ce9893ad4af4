// A source of the GLib main loop that calls back when a descriptor is readable
// or a timer expires.
#ifndef QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_
#define QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_

#include <glib.h>

#include <functional>

#include "quetzal/ids/ids.h"

namespace quetzal::http_client_internal {

class ReadySource {
 public:
  // `timer_expired`: the timer expired and is disarmed.
  using OnReady = std::function<void(bool timer_expired)>;
  ReadySource(int descriptor, OnReady on_ready);
  ~ReadySource();
  ReadySource(const ReadySource&) = delete;
  ReadySource& operator=(const ReadySource&) = delete;

  // Replaces the previous timer; disarms it if `armed` is false.
  void SetTimer(Milliseconds delay, bool armed);

 private:
  struct Source;
  static constexpr gint64 kNoDeadline = -1;

  bool IsTimerExpired() const;

  GSource* source_;
  gpointer watch_;                    // of the descriptor
  gint64 deadline_us_ = kNoDeadline;  // on the monotonic clock
  OnReady on_ready_;
};

}  // namespace quetzal::http_client_internal

#endif  // QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_
