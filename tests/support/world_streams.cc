#include <algorithm>
#include <utility>

#include "tests/support/world_process.h"

namespace quetzal::testing {
namespace {

std::string KindOf(const wire::PlacerToWorker& message) {
  switch (message.kind_case()) {
    case wire::PlacerToWorker::kGrant:
      return message.grant().acknowledged_attempt_ids().empty() ? "grant"
                                                                : "acknowledge";
    case wire::PlacerToWorker::kStart:
      return message.start().hold_ms() > 0 ? "hold" : "start";
    case wire::PlacerToWorker::kGo:
      return "go";
    case wire::PlacerToWorker::kStop:
      return "stop";
    case wire::PlacerToWorker::kAcknowledge:
      return "acknowledge";
    default:
      return "release";
  }
}

std::string KindOf(const wire::WorkerToPlacer& message) {
  switch (message.kind_case()) {
    case wire::WorkerToPlacer::kGranted:
      return "granted";
    case wire::WorkerToPlacer::kGrantRefused:
      return "grant_refused";
    case wire::WorkerToPlacer::kStarted:
      return "started";
    case wire::WorkerToPlacer::kStartRefused:
      return "start_refused";
    case wire::WorkerToPlacer::kEnded:
      return "ended";
    case wire::WorkerToPlacer::kUsage:
      return "usage";
    default:
      return "leaving";
  }
}

std::string KindOf(const wire::EntryToPlacer& message) {
  switch (message.kind_case()) {
    case wire::EntryToPlacer::kSubmit:
      return "submit";
    case wire::EntryToPlacer::kCancel:
      return "cancel";
    case wire::EntryToPlacer::kSubmitJob:
      return "submit_job";
    case wire::EntryToPlacer::kQueryJob:
      return "query_job";
    case wire::EntryToPlacer::kCancelJob:
      return "cancel_job";
    case wire::EntryToPlacer::kSettleReceived:
      return "settle_received";
    case wire::EntryToPlacer::kRecords:
      return "records";
    default:
      return "entry_hello";
  }
}

std::string KindOf(const wire::PlacerToEntry& message) {
  switch (message.kind_case()) {
    case wire::PlacerToEntry::kSettled:
      return "settled";
    case wire::PlacerToEntry::kJob:
      return "job";
    case wire::PlacerToEntry::kRecords:
      return "records";
    default:
      return "placer_hello";
  }
}

}  // namespace

// ---- streams ----

bool World::Reachable(const std::string& from, const std::string& to) const {
  return !cuts_.contains({from, to});
}

void World::UpdateStreams() {
  for (const std::string& placer : Placers()) {
    const Process* const process = Find(placer);
    const bool wanted =
        process->alive && process->placer->Status(now()).in_term;
    for (const std::string& worker : Workers()) {
      if (DomainOf(worker) == DomainOf(placer)) {
        UpdateStream(placer, worker, wanted);
      }
    }
    for (const std::string& entry : Entries()) {
      if (DomainOf(entry) == DomainOf(placer)) {
        UpdateStream(entry, placer, true);
      }
    }
  }
}

void World::UpdateStream(const std::string& from, const std::string& to,
                         bool wanted) {
  Stream& stream = streams_[{from, to}];
  const bool reachable = Reachable(from, to) && Reachable(to, from);
  const bool alive = Find(from)->alive && Find(to)->alive && wanted;
  if (!stream.up) {
    const bool not_frozen = !Find(from)->frozen && !Find(to)->frozen;
    if (alive && reachable && not_frozen) StreamChanged(from, to, true);
    return;
  }
  if (!alive) {
    StreamChanged(from, to, false);
    return;
  }
  if (reachable) {
    stream.unreachable_since.reset();
    return;
  }
  if (!stream.unreachable_since) stream.unreachable_since = now();
  if (now() - *stream.unreachable_since >= kStreamTimeout) {
    StreamChanged(from, to, false);
  }
}

void World::StreamChanged(const std::string& from, const std::string& to,
                          bool up) {
  Stream& stream = streams_[{from, to}];
  const uint64_t generation = up ? next_generation_++ : stream.generation;
  stream = {.up = up, .generation = generation};
  const Process* const client = Find(from);
  const Process* const server = Find(to);
  if (IsRole(from, "placer")) {
    Deliver(from, client->incarnation, Milliseconds(0),
            [this, to, up](Process* placer) {
              placer->placer->OnWorkerLink(WorkerId(to), up, now());
            });
    if (up) return;
    Deliver(to, server->incarnation, Milliseconds(0),
            [generation](Process* worker) {
              worker->worker->OnPeerClosed(generation);
            });
    return;
  }
  Deliver(from, client->incarnation, Milliseconds(0),
          [this, to, up](Process* entry) {
            entry->entry->OnPlacerLink(PlacerId(to), up, now());
          });
  const EntryId entry(from + "@" + std::to_string(client->incarnation));
  Deliver(to, server->incarnation, Milliseconds(0),
          [this, entry, up](Process* placer) {
            placer->placer->OnEntryLink(entry, up, now());
          });
}

void World::SendOnStream(const std::string& from, const std::string& to,
                         const std::string& client, const std::string& server,
                         const std::string& kind,
                         std::function<void(Process*)> deliver) {
  const auto found = streams_.find({client, server});
  if (found == streams_.end() || !found->second.up) return;
  const uint64_t generation = found->second.generation;
  const MessageFate fate = rule_ ? rule_({.from = from, .to = to, .kind = kind})
                                 : MessageFate::kDeliver;
  // The rule may have cut the link or killed one of the processes.
  if (fate == MessageFate::kLose || !Reachable(from, to)) return;
  const auto guarded = [this, client, server, generation,
                        deliver = std::move(deliver)](Process* target) {
    const Stream& stream = streams_[{client, server}];
    if (stream.up && stream.generation == generation) deliver(target);
  };
  Milliseconds delay = settings_.latency;
  if (fate == MessageFate::kDelay) delay += kMessageDelay;
  if (fate == MessageFate::kReorder) delay += kReorderDelay;
  const uint64_t incarnation = Find(to)->incarnation;
  Deliver(to, incarnation, delay, guarded);
  if (fate == MessageFate::kRepeat) {
    Deliver(to, incarnation, delay + kReorderDelay, guarded);
  }
}

// ---- effects ----

void World::Flush(Process* process) {
  if (!process->alive) return;
  if (process->placer) FlushPlacer(process);
  if (process->entry) FlushEntry(process);
  if (process->worker) FlushWorker(process);
  if (!process->worker) CheckReverts(process);
}

void World::CheckRecordPropagation(Process* process) {
  const bool platform_reachable = process->alive && !process->frozen &&
                                  !platform_down_ &&
                                  Reachable("platform", process->name) &&
                                  Reachable(process->name, "platform");
  if (!platform_reachable) process->platform_reachable_since = now();
  const auto revision = static_cast<uint64_t>(process->records.revision());
  for (const RecordLog& log : record_log_) {
    if (log.revision <= revision) continue;
    const Time due =
        std::max(log.at, process->platform_reachable_since) + kPropagationBound;
    if (due > now()) break;
    late_records_.push_back(process->name + " lacks " + log.path);
    break;
  }
}

void World::CheckReverts(Process* process) {
  const auto revision = static_cast<uint64_t>(process->records.revision());
  if (revision < process->seen_revision) reverts_.push_back(process->name);
  process->seen_revision = revision;
}

void World::FlushPlacer(Process* process) {
  const std::string name = process->name;
  for (const PlacerEffect& effect : process->placer->TakeEffects()) {
    if (!process->alive) return;
    if (const auto* const out = std::get_if<SendToWorker>(&effect)) {
      const std::string worker = out->worker.text();
      const uint64_t peer = streams_[{name, worker}].generation;
      SendOnStream(name, worker, name, worker, KindOf(out->message),
                   [this, peer, message = out->message](Process* target) {
                     target->worker->OnMessage(peer, message, now());
                   });
    } else if (const auto* const reply = std::get_if<SendToEntry>(&effect)) {
      const std::string& id = reply->entry.text();
      const std::string entry = id.substr(0, id.find('@'));
      SendOnStream(name, entry, entry, name, KindOf(reply->message),
                   [this, name, message = reply->message](Process* target) {
                     target->entry->OnPlacerMessage(PlacerId(name), message,
                                                    now());
                   });
    } else {
      CallPlatform(process, std::get<KvCall>(effect),
                   [this, process](const KvAnswer& answer) {
                     process->placer->OnKvAnswer(answer, now());
                   });
    }
  }
}

void World::FlushEntry(Process* process) {
  const std::string name = process->name;
  for (const EntryEffect& effect : process->entry->TakeEffects()) {
    if (!process->alive) return;
    const auto* const out = std::get_if<SendToPlacer>(&effect);
    if (out == nullptr) {
      OnReply(process, effect);
      continue;
    }
    const EntryId entry(name + "@" + std::to_string(process->incarnation));
    SendOnStream(name, out->placer.text(), name, out->placer.text(),
                 KindOf(out->message),
                 [this, entry, message = out->message](Process* target) {
                   target->placer->OnEntryMessage(entry, message, now());
                 });
  }
}

void World::FlushWorker(Process* process) {
  for (const standin::WorkerEvent& event : process->worker->TakeEvents()) {
    events_.push_back(event);
    if (event.kind == standin::WorkerEvent::Kind::kStarted) {
      process->running[event.attempt] = event;
    } else if (event.kind == standin::WorkerEvent::Kind::kEnded) {
      process->running.erase(event.attempt);
    }
  }
  for (const standin::WorkerOutput& output : process->worker->TakeOutputs()) {
    for (const std::string& placer : Placers()) {
      const auto stream = streams_.find({placer, process->name});
      const bool addressed = stream != streams_.end() && stream->second.up &&
                             stream->second.generation == output.peer;
      if (!addressed) continue;
      const WorkerId worker(process->name);
      SendOnStream(process->name, placer, placer, process->name,
                   KindOf(output.message),
                   [this, worker, message = output.message](Process* target) {
                     target->placer->OnWorkerMessage(worker, message, now());
                   });
      break;
    }
    if (!process->alive) return;
  }
}

}  // namespace quetzal::testing
