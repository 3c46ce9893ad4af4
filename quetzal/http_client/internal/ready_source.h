// A source of the GLib main loop that calls back when a descriptor is readable
// or a timer expires.
//
// Its attended time advances while the loop waits for events, and by a limited
// amount in each of its turns. What is timed by it doesn't expire because this
// process was busy, paused or short of processor time, while bytes that had
// arrived were not read.
#ifndef QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_
#define QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_

#include <glib.h>

#include <functional>
#include <optional>

namespace quetzal::http_client_internal {

class ReadySource {
 public:
  // `timer_expired`: the timer expired and is disarmed. Also called when the
  // deadline has passed.
  using OnReady = std::function<void(bool timer_expired)>;
  ReadySource(int descriptor, OnReady on_ready);
  ~ReadySource();
  ReadySource(const ReadySource&) = delete;
  ReadySource& operator=(const ReadySource&) = delete;

  // On the monotonic clock; replaces the previous timer.
  void SetTimer(std::optional<gint64> at_us);

  gint64 attended_us() const;
  // In attended time; replaces the previous one.
  void SetDeadline(std::optional<gint64> attended_us);

 private:
  struct Source;
  bool IsTimerExpired() const;
  bool IsDeadlinePast() const;
  void OnTurnEnd();
  void OnTurnStart();

  GSource* source_;
  gpointer watch_;  // of the descriptor
  std::optional<gint64> timer_us_;
  std::optional<gint64> deadline_us_;
  gint64 attended_us_ = 0;  // at the last start or end of a turn
  gint64 turn_started_us_;  // on the monotonic clock
  gint64 turn_ended_us_;
  OnReady on_ready_;
};

}  // namespace quetzal::http_client_internal

#endif  // QUETZAL_HTTP_CLIENT_INTERNAL_READY_SOURCE_H_
