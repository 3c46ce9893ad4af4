// One source of the GLib main loop: calls back when a descriptor is readable or
// a time has come.
#ifndef QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_
#define QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_

#include <glib.h>

#include <functional>

#include "quetzal/ids/ids.h"

namespace quetzal::http_client_internal {

class ReadySource {
 public:
  // `is_due`: the time has come; it is not set any more.
  using OnReady = std::function<void(bool is_due)>;
  ReadySource(int descriptor, OnReady on_ready);
  ~ReadySource();
  ReadySource(const ReadySource&) = delete;
  ReadySource& operator=(const ReadySource&) = delete;

  // Replaces the time set before; not `ever`: no time.
  void WakeIn(Milliseconds delay, bool ever);

 private:
  struct Source;
  static constexpr gint64 kNever = -1;

  bool IsDue() const;

  GSource* source_;
  gpointer watch_;       // of the descriptor
  gint64 due_ = kNever;  // microseconds of the monotonic clock
  OnReady on_ready_;
};

}  // namespace quetzal::http_client_internal

#endif  // QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_
