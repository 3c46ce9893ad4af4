#include "quetzal/http_client/internal/ready_source.h"

#include <algorithm>
#include <utility>

namespace quetzal::http_client_internal {
namespace {

constexpr gint64 kMicrosecondsInMillisecond = 1'000;

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
    const ReadySource* const owner = OwnerOf(source);
    *timeout = -1;
    if (!owner->timer_us_) return FALSE;
    *timeout = TimeoutFor(*owner->timer_us_ - g_get_monotonic_time());
    return *timeout == 0 ? TRUE : FALSE;
  }
  static gboolean Check(GSource* source) {
    ReadySource* const owner = OwnerOf(source);
    return g_source_query_unix_fd(source, owner->watch_) != 0 ||
                   owner->IsTimerExpired()
               ? TRUE
               : FALSE;
  }
  static gboolean Dispatch(GSource* source, GSourceFunc /*callback*/,
                           gpointer /*data*/) {
    OwnerOf(source)->on_ready_();
    return G_SOURCE_CONTINUE;
  }
};

ReadySource::ReadySource(int descriptor, OnReady on_ready)
    : on_ready_(std::move(on_ready)) {
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

bool ReadySource::IsTimerExpired() const {
  return timer_us_ && *timer_us_ <= g_get_monotonic_time();
}

}  // namespace quetzal::http_client_internal
