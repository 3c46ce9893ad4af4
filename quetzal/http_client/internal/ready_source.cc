#include "quetzal/http_client/internal/ready_source.h"

#include <algorithm>
#include <utility>

namespace quetzal::http_client_internal {
namespace {

constexpr gint64 kMicrosecondsInMillisecond = 1'000;
// Of a turn of the loop, as attended time.
constexpr gint64 kMaxTurnUs = 50'000;

// Milliseconds for `poll`, rounded up.
gint TimeoutFor(gint64 left_us) {
  const gint64 ms =
      (std::max<gint64>(0, left_us) + kMicrosecondsInMillisecond - 1) /
      kMicrosecondsInMillisecond;
  return static_cast<gint>(std::min<gint64>(ms, G_MAXINT));
}

}  // namespace

// `Prepare` returns the deadline in each iteration of the loop. Setting it on
// the source instead would wake the loop with a system call each time.
struct ReadySource::Source {
  GSource base;
  ReadySource* owner;

  static ReadySource* OwnerOf(GSource* source) {
    return reinterpret_cast<Source*>(source)->owner;
  }
  static gboolean Prepare(GSource* source, gint* timeout) {
    ReadySource* const owner = OwnerOf(source);
    owner->OnTurnEnd();
    *timeout = -1;
    if (owner->timer_us_) {
      *timeout = TimeoutFor(*owner->timer_us_ - g_get_monotonic_time());
    }
    if (owner->deadline_us_) {
      const gint left = TimeoutFor(*owner->deadline_us_ - owner->attended_us_);
      *timeout = *timeout < 0 ? left : std::min(*timeout, left);
    }
    return *timeout == 0 ? TRUE : FALSE;
  }
  static gboolean Check(GSource* source) {
    ReadySource* const owner = OwnerOf(source);
    owner->OnTurnStart();
    return g_source_query_unix_fd(source, owner->watch_) != 0 ||
                   owner->IsTimerExpired() || owner->IsDeadlinePast()
               ? TRUE
               : FALSE;
  }
  static gboolean Dispatch(GSource* source, GSourceFunc /*callback*/,
                           gpointer /*data*/) {
    ReadySource* const owner = OwnerOf(source);
    const bool timer_expired = owner->IsTimerExpired();
    if (timer_expired) owner->timer_us_.reset();
    owner->on_ready_(timer_expired);
    return G_SOURCE_CONTINUE;
  }
};

ReadySource::ReadySource(int descriptor, OnReady on_ready)
    : turn_started_us_(g_get_monotonic_time()),
      turn_ended_us_(turn_started_us_),
      on_ready_(std::move(on_ready)) {
  static GSourceFuncs functions = {.prepare = &Source::Prepare,
                                   .check = &Source::Check,
                                   .dispatch = &Source::Dispatch};
  source_ = g_source_new(&functions, sizeof(Source));
  reinterpret_cast<Source*>(source_)->owner = this;
  watch_ = g_source_add_unix_fd(source_, descriptor, G_IO_IN);
  g_source_attach(source_, nullptr);
}

ReadySource::~ReadySource() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

void ReadySource::SetTimer(std::optional<gint64> at_us) { timer_us_ = at_us; }

void ReadySource::SetDeadline(std::optional<gint64> attended_us) {
  deadline_us_ = attended_us;
}

gint64 ReadySource::attended_us() const {
  return attended_us_ +
         std::min(g_get_monotonic_time() - turn_started_us_, kMaxTurnUs);
}

void ReadySource::OnTurnEnd() {
  attended_us_ = attended_us();
  turn_ended_us_ = g_get_monotonic_time();
  turn_started_us_ = turn_ended_us_;
}

void ReadySource::OnTurnStart() {
  turn_started_us_ = g_get_monotonic_time();
  attended_us_ += turn_started_us_ - turn_ended_us_;
}

bool ReadySource::IsDeadlinePast() const {
  return deadline_us_ && *deadline_us_ <= attended_us();
}

bool ReadySource::IsTimerExpired() const {
  return timer_us_ && *timer_us_ <= g_get_monotonic_time();
}

}  // namespace quetzal::http_client_internal
