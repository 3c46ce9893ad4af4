// Runs a libmicrohttpd daemon on the GLib main loop.
//
//   DaemonSource source(daemon);
//   MHD_resume_connection(connection);
//   source.Wake();
#ifndef QUETZAL_HTTP_INTERNAL_DAEMON_SOURCE_H_
#define QUETZAL_HTTP_INTERNAL_DAEMON_SOURCE_H_

#include <glib.h>
#include <microhttpd.h>

namespace quetzal::http_internal {

class DaemonSource {
 public:
  // `daemon` must have been started with MHD_USE_EPOLL and without a thread of
  // its own, and must outlive this object.
  explicit DaemonSource(MHD_Daemon* daemon);
  ~DaemonSource();
  DaemonSource(const DaemonSource&) = delete;
  DaemonSource& operator=(const DaemonSource&) = delete;

  // Runs the daemon in the next loop iteration. Needed after a connection is
  // resumed, or when new ones can be accepted again: neither makes the daemon's
  // epoll descriptor readable.
  void Wake();

 private:
  GSource* source_;
};

}  // namespace quetzal::http_internal

#endif  // QUETZAL_HTTP_INTERNAL_DAEMON_SOURCE_H_
