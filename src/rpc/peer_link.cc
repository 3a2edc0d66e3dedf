#include "rpc/peer_link.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <stdexcept>

#include "rpc/peer.capnp.h"

namespace seampass::rpc {
namespace {

constexpr std::size_t kMaxFrame = 256U << 10;  // a record is below a request body's 64 KiB
constexpr std::size_t kMaxQueued = 1U << 20;
constexpr std::size_t kMaxIncoming = 64;
constexpr net::Ms kRedial = 250;

struct Frame {
  uv_write_t req;
  std::string data;
};

std::string framed(const std::string& payload) {
  const auto n = static_cast<std::uint32_t>(payload.size());
  std::string out(4, '\0');
  for (int i = 0; i < 4; ++i) out[static_cast<std::size_t>(i)] = static_cast<char>(n >> (8 * i));
  return out + payload;
}

}  // namespace

std::string encode(const Message& message) {
  capnp::MallocMessageBuilder builder;
  auto envelope = builder.initRoot<schema::Envelope>();
  envelope.setVersion(kOwnVersion);
  if (const auto* a = std::get_if<JobAccepted>(&message)) {
    auto m = envelope.initJobAccepted();
    m.setId(a->id);
    m.setRecord(a->record);
    m.setVersion(a->version);
  } else if (const auto* q = std::get_if<JobRequest>(&message)) {
    auto m = envelope.initJobRequest();
    m.setNumber(q->number);
    m.setId(q->id);
    m.setCancel(q->cancel);
    m.setRecord(q->record);
  } else if (const auto* r = std::get_if<JobReply>(&message)) {
    auto m = envelope.initJobReply();
    m.setNumber(r->number);
    m.setLookup(static_cast<schema::JobReply::Lookup>(r->lookup));
    m.setStage(static_cast<std::uint8_t>(r->status.stage));
    m.setDone(r->status.done);
    m.setRunning(r->status.running);
    m.setFresh(r->fresh);
  } else if (const auto* l = std::get_if<LeaderAnnouncement>(&message)) {
    auto m = envelope.initLeaderAnnouncement();
    m.setEpoch(l->epoch);
    m.setRound(l->round);
  } else if (const auto* w = std::get_if<EpochConfirmation>(&message)) {
    auto m = envelope.initEpochConfirmation();
    m.setRound(w->round);
    m.setEpoch(w->epoch);
    m.setUpMs(w->up_ms);
  }
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

namespace {

JobReply answer_from(const schema::JobReply::Reader& message) {
  const auto lookup = static_cast<unsigned>(message.getLookup());
  if (lookup > static_cast<unsigned>(Lookup::not_found) ||
      message.getStage() > static_cast<unsigned>(wire::Stage::cancelled))
    throw std::runtime_error("bad peer answer");
  JobReply answer;
  answer.number = message.getNumber();
  answer.lookup = static_cast<Lookup>(lookup);
  answer.status.stage = static_cast<wire::Stage>(message.getStage());
  answer.status.done = message.getDone();
  answer.status.running = message.getRunning();
  answer.fresh = message.getFresh();
  return answer;
}

Message message_from(const schema::Envelope::Reader& envelope) {
  switch (envelope.which()) {
    case schema::Envelope::JOB_ACCEPTED: {
      const auto accepted = envelope.getJobAccepted();
      return JobAccepted{accepted.getId(), accepted.getRecord(), accepted.getVersion()};
    }
    case schema::Envelope::JOB_REQUEST: {
      const auto ask = envelope.getJobRequest();
      return JobRequest{ask.getNumber(), ask.getId(), ask.getCancel(), ask.getRecord()};
    }
    case schema::Envelope::JOB_REPLY:
      return answer_from(envelope.getJobReply());
    case schema::Envelope::LEADER_ANNOUNCEMENT:
      return LeaderAnnouncement{envelope.getLeaderAnnouncement().getEpoch(),
                                envelope.getLeaderAnnouncement().getRound()};
    case schema::Envelope::EPOCH_CONFIRMATION: {
      const auto word = envelope.getEpochConfirmation();
      return EpochConfirmation{word.getRound(), word.getEpoch(), word.getUpMs()};
    }
  }
  throw std::runtime_error("unknown peer message");
}

}  // namespace

Envelope decode(const char* bytes, std::size_t size) {
  if (size == 0 || size % sizeof(capnp::word) != 0) throw std::runtime_error("bad peer frame");
  // A copy, since the words must be aligned.
  auto words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes, size);
  try {
    capnp::FlatArrayMessageReader reader(words);
    const auto envelope = reader.getRoot<schema::Envelope>();
    return {envelope.getVersion(), message_from(envelope)};
  } catch (const kj::Exception& e) {
    throw std::runtime_error(std::string("bad peer message: ") + e.getDescription().cStr());
  }
}

struct PeerLink::Out {
  PeerLink* owner;
  std::string node;
  uv_tcp_t tcp;
  uv_connect_t connect_req;
  bool connected = false, closing = false;
  std::string queued;

  void close() {
    if (closing) return;
    closing = true;
    auto& peer = owner->peers_.at(node);
    if (peer.out == this) peer.out = nullptr;
    peer.retry_at = owner->loop_.now() + kRedial;
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp),
             [](uv_handle_t* h) { delete static_cast<Out*>(h->data); });
  }

  void write(std::string data) {
    if (uv_stream_get_write_queue_size(reinterpret_cast<uv_stream_t*>(&tcp)) > kMaxQueued)
      return close();
    auto* f = new Frame{{}, std::move(data)};
    f->req.data = f;
    uv_buf_t buf = uv_buf_init(f->data.data(), static_cast<unsigned>(f->data.size()));
    const int rc = uv_write(&f->req, reinterpret_cast<uv_stream_t*>(&tcp), &buf, 1,
                            [](uv_write_t* req, int) { delete static_cast<Frame*>(req->data); });
    if (rc != 0) {
      delete f;
      close();
    }
  }
};

struct PeerLink::In {
  PeerLink* owner;
  uv_tcp_t tcp;
  std::string node, data;
  bool closing = false;
  char buffer[4096];

  void close() {
    if (closing) return;
    closing = true;
    owner->ins_.erase(this);
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp),
             [](uv_handle_t* h) { delete static_cast<In*>(h->data); });
  }

  void take(const char* bytes, std::size_t n) {
    data.append(bytes, n);
    std::size_t at = 0;
    while (data.size() - at >= 4) {
      std::uint32_t size = 0;
      for (std::size_t i = 0; i < 4; ++i)
        size |= static_cast<std::uint32_t>(static_cast<unsigned char>(data[at + i])) << (8 * i);
      if (size > kMaxFrame) return close();
      if (data.size() - at - 4 < size) break;
      const char* payload = data.data() + at + 4;
      if (node.empty()) {
        node.assign(payload, size);
        if (!owner->peers_.contains(node)) return close();
      } else {
        try {
          const Envelope envelope = decode(payload, size);
          if (owner->receive_) owner->receive_(node, envelope);
        } catch (const std::runtime_error&) {
          return close();
        }
        if (closing) return;
      }
      at += 4 + size;
    }
    data.erase(0, at);
  }
};

PeerLink::PeerLink(net::Loop& loop, std::string self, const std::vector<config::Peer>& peers)
    : loop_(loop), self_(std::move(self)), listener_(new uv_tcp_t) {
  for (const auto& p : peers) peers_[p.node].endpoint = p.endpoint;
  uv_tcp_init(loop_.raw(), listener_);
  listener_->data = this;
}

PeerLink::~PeerLink() {
  for (auto& [node, peer] : peers_)
    if (peer.out) peer.out->close();
  while (!ins_.empty()) (*ins_.begin())->close();
  uv_close(reinterpret_cast<uv_handle_t*>(listener_),
           [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
  uv_run(loop_.raw(), UV_RUN_NOWAIT);  // the closing callbacks use peers_
}

void PeerLink::listen(const std::string& endpoint) {
  const sockaddr_in addr = net::parse_endpoint(endpoint);
  int rc = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&addr), 0);
  if (rc == 0)
    rc = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), 16, [](uv_stream_t* s, int status) {
      if (status != 0) return;
      auto* link = static_cast<PeerLink*>(s->data);
      auto* in = new In{};
      in->owner = link;
      uv_tcp_init(link->loop_.raw(), &in->tcp);
      in->tcp.data = in;
      link->ins_.insert(in);
      if (uv_accept(s, reinterpret_cast<uv_stream_t*>(&in->tcp)) != 0 ||
          link->ins_.size() > kMaxIncoming)
        return in->close();
      uv_read_start(
          reinterpret_cast<uv_stream_t*>(&in->tcp),
          [](uv_handle_t* h, std::size_t, uv_buf_t* buf) {
            auto* i = static_cast<In*>(h->data);
            *buf = uv_buf_init(i->buffer, sizeof i->buffer);
          },
          [](uv_stream_t* stream, ssize_t n, const uv_buf_t* buf) {
            auto* i = static_cast<In*>(stream->data);
            if (n < 0) return i->close();
            if (n > 0) i->take(buf->base, static_cast<std::size_t>(n));
          });
    });
  if (rc != 0) throw std::runtime_error("cannot listen on " + endpoint + ": " + uv_strerror(rc));
}

void PeerLink::dial(const std::string& node, Peer& peer) {
  if (loop_.now() < peer.retry_at) return;
  auto* out = new Out{};
  out->owner = this;
  out->node = node;
  uv_tcp_init(loop_.raw(), &out->tcp);
  uv_tcp_nodelay(&out->tcp, 1);
  out->tcp.data = out;
  out->connect_req.data = out;
  out->queued = framed(self_);
  peer.out = out;
  const sockaddr_in addr = net::parse_endpoint(peer.endpoint);
  const int rc =
      uv_tcp_connect(&out->connect_req, &out->tcp, reinterpret_cast<const sockaddr*>(&addr),
                     [](uv_connect_t* req, int status) {
                       auto* o = static_cast<Out*>(req->data);
                       if (o->closing) return;
                       if (status != 0) return o->close();
                       o->connected = true;
                       // Nothing comes back on this connection but its end.
                       uv_read_start(
                           reinterpret_cast<uv_stream_t*>(&o->tcp),
                           [](uv_handle_t*, std::size_t, uv_buf_t* buf) {
                             static char sink[64];
                             *buf = uv_buf_init(sink, sizeof sink);
                           },
                           [](uv_stream_t* s, ssize_t n, const uv_buf_t*) {
                             if (n < 0) static_cast<Out*>(s->data)->close();
                           });
                       std::string first;
                       first.swap(o->queued);
                       o->write(std::move(first));
                     });
  if (rc != 0) out->close();
}

void PeerLink::send(const std::string& node, const Message& message) {
  const auto it = peers_.find(node);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  if (!peer.out) dial(node, peer);
  if (!peer.out) return;
  std::string data = framed(encode(message));
  if (peer.out->connected) return peer.out->write(std::move(data));
  if (peer.out->queued.size() < kMaxQueued) peer.out->queued += data;
}

void PeerLink::reset(const std::string& node) {
  const auto it = peers_.find(node);
  if (it != peers_.end() && it->second.out) it->second.out->close();
}

}  // namespace seampass::rpc
