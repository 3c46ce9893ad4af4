#include "quetzal/http/internal/daemon_source.h"

#include <algorithm>

namespace quetzal::http_internal {
namespace {

constexpr gint kNoTimeout = -1;
constexpr gint64 kReadyNow = 0;
constexpr gint64 kNoReadyTime = -1;

struct Watch {
  GSource base;
  MHD_Daemon* daemon;
  gpointer epoll;  // the watch of the daemon's epoll descriptor
};

Watch* AsWatch(GSource* source) { return reinterpret_cast<Watch*>(source); }

// Milliseconds until the daemon must run at the latest, or `kNoTimeout`.
gint GetTimeout(MHD_Daemon* daemon) {
  MHD_UNSIGNED_LONG_LONG timeout = 0;
  if (MHD_get_timeout(daemon, &timeout) != MHD_YES) return kNoTimeout;
  return static_cast<gint>(std::min<MHD_UNSIGNED_LONG_LONG>(timeout, G_MAXINT));
}

gboolean Prepare(GSource* source, gint* timeout) {
  *timeout = GetTimeout(AsWatch(source)->daemon);
  return *timeout == 0 ? TRUE : FALSE;
}

gboolean Check(GSource* source) {
  const bool ready =
      g_source_query_unix_fd(source, AsWatch(source)->epoll) != 0;
  return ready || GetTimeout(AsWatch(source)->daemon) == 0 ? TRUE : FALSE;
}

gboolean Dispatch(GSource* source, GSourceFunc /*callback*/,
                  gpointer /*data*/) {
  g_source_set_ready_time(source, kNoReadyTime);
  MHD_run(AsWatch(source)->daemon);
  return G_SOURCE_CONTINUE;
}

GSourceFuncs* SourceFunctions() {
  static GSourceFuncs functions = {
      .prepare = &Prepare, .check = &Check, .dispatch = &Dispatch};
  return &functions;
}

}  // namespace

DaemonSource::DaemonSource(MHD_Daemon* daemon)
    : source_(g_source_new(SourceFunctions(), sizeof(Watch))) {
  const MHD_DaemonInfo* const info =
      MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
  AsWatch(source_)->daemon = daemon;
  AsWatch(source_)->epoll =
      g_source_add_unix_fd(source_, info->epoll_fd, G_IO_IN);
  g_source_attach(source_, nullptr);
}

DaemonSource::~DaemonSource() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

void DaemonSource::Wake() { g_source_set_ready_time(source_, kReadyNow); }

}  // namespace quetzal::http_internal
