#include "quetzal/http_client/internal/ready_source.h"

#include <utility>

namespace quetzal::http_client_internal {
namespace {

constexpr gint64 kNever = -1;
constexpr gint64 kMicrosecondsInMillisecond = 1'000;

// Without prepare and check the source is ready by its descriptor or time.
gboolean Dispatch(GSource* source, GSourceFunc /*callback*/, gpointer data) {
  const gint64 due = g_source_get_ready_time(source);
  const bool is_due = due != kNever && due <= g_get_monotonic_time();
  if (is_due) g_source_set_ready_time(source, kNever);
  (*static_cast<ReadySource::OnReady*>(data))(is_due);
  return G_SOURCE_CONTINUE;
}

gboolean Unused(gpointer /*data*/) { return G_SOURCE_CONTINUE; }

GSourceFuncs* Functions() {
  static GSourceFuncs functions = {.dispatch = &Dispatch};
  return &functions;
}

}  // namespace

ReadySource::ReadySource(int descriptor, OnReady on_ready)
    : source_(g_source_new(Functions(), sizeof(GSource))),
      on_ready_(std::move(on_ready)) {
  g_source_add_unix_fd(source_, descriptor, G_IO_IN);
  g_source_set_callback(source_, &Unused, &on_ready_, nullptr);
  g_source_attach(source_, nullptr);
}

ReadySource::~ReadySource() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

void ReadySource::WakeIn(Milliseconds delay, bool ever) {
  const gint64 at =
      g_get_monotonic_time() + delay.count() * kMicrosecondsInMillisecond;
  g_source_set_ready_time(source_, ever ? at : kNever);
}

}  // namespace quetzal::http_client_internal
