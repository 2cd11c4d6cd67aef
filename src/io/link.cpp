#include "io/link.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::io {

namespace {

constexpr const char* hello_kind = "hello";
constexpr const char* challenge_kind = "challenge";
constexpr const char* proof_kind = "proof";
// Opening frames hold a name, a nonce and a digest; nobody unproven may make
// us hold more than this.
constexpr std::size_t opening_limit = 1024;
// What kind, sequence, tag and CBOR add to a message at most.
constexpr std::size_t frame_overhead = 512;
// Of a link that was accepted; the system may grant less.
constexpr std::size_t proven_receive_buffer = 1024 * 1024; // bytes

link_bytes to_bytes(const std::string& text) {
    return link_bytes(text.begin(), text.end());
}

std::string to_text(const link_bytes& bytes) {
    return std::string(bytes.begin(), bytes.end());
}

const std::uint8_t* as_bytes(const std::string& text) {
    return reinterpret_cast<const std::uint8_t*>(text.data());
}

} // namespace

link::link(kernel::event_loop& loop, link_websocket_factory& websockets,
           const message_hub_options& options, message_hub_counters& counters,
           link_origin origin, link_handlers handlers)
    : options_(options),
      counters_(counters),
      origin_(std::move(origin)),
      handlers_(std::move(handlers)) {
    websocket_ = origin_.dialed
                     ? websockets.dial(origin_.address, websocket_handlers())
                     : websockets.accept(websocket_handlers());
    websocket_->limit_messages(opening_limit);
    stream_socket_handlers on_socket;
    on_socket.on_connected = [this] {
        connected_ = true;
        websocket_->start();
    };
    on_socket.on_bytes = [this](const char* bytes, std::size_t size) {
        on_bytes(bytes, size);
    };
    on_socket.on_end = [this] { close(); };
    socket_ = std::make_unique<stream_socket>(
        loop, origin_.descriptor, origin_.dialed, std::move(on_socket));
}

link::~link() {
    socket_->close();
    websocket_->finish();
}

link_websocket_handlers link::websocket_handlers() {
    link_websocket_handlers handlers;
    handlers.on_output = [this](const char* bytes, std::size_t size) {
        write(bytes, size);
    };
    handlers.on_open = [this] { on_websocket_open(); };
    handlers.on_message = [this](const std::string& message) {
        on_websocket_message(message);
    };
    handlers.on_failed = [this](bool too_large) {
        refuse(too_large ? counters_.refused_too_large
                         : counters_.refused_malformed);
    };
    return handlers;
}

void link::start(time_point now) {
    heard_ = now;
    pinged_ = now;
    opened_ = now;
    if (!origin_.dialed) {
        websocket_->start();
    }
}

void link::write(const char* bytes, std::size_t size) {
    if (phase_ == phase::closed) {
        return;
    }
    if (socket_->waiting() + size > options_.outgoing_limit) {
        // A peer that has stopped reading would make us hold all that is ever
        // said to it; it shows as a growing queue. Dropped, it connects again
        // and is told the whole state.
        ++counters_.dropped_slow;
        close();
        return;
    }
    socket_->write(bytes, size);
    count_bytes();
}

void link::on_bytes(const char* bytes, std::size_t size) {
    if (phase_ == phase::closed) {
        return;
    }
    count_bytes();
    websocket_->feed(bytes, size);
}

void link::count_bytes() {
    counters_.bytes_in += socket_->bytes_in() - counted_in_;
    counters_.bytes_out += socket_->bytes_out() - counted_out_;
    counted_in_ = socket_->bytes_in();
    counted_out_ = socket_->bytes_out();
}

void link::on_websocket_open() {
    if (!origin_.dialed) {
        phase_ = phase::awaiting_hello;
        return;
    }
    phase_ = phase::awaiting_challenge;
    identity_.dialer = options_.self_name;
    identity_.dialer_nonce = fresh_link_nonce();
    send_opening(hello_kind, identity_.dialer_nonce, "");
}

void link::send_opening(const char* kind, const std::string& nonce,
                        const std::string& proof) {
    link_frame frame;
    frame.kind = kind;
    frame.name = options_.self_name;
    frame.nonce = nonce;
    frame.payload = to_bytes(proof);
    websocket_->send(encode_link_frame(frame));
}

void link::on_websocket_message(const std::string& message) {
    if (phase_ == phase::closed) {
        return;
    }
    if (phase_ == phase::ready) {
        take_message(message);
    } else {
        take_opening_frame(message);
    }
}

void link::take_opening_frame(const std::string& message) {
    const auto decoded = decode_link_frame(as_bytes(message), message.size());
    if (!decoded) {
        refuse(counters_.refused_malformed);
        return;
    }
    const auto& frame = decoded.value();
    if (phase_ == phase::awaiting_hello && frame.kind == hello_kind) {
        take_hello(frame);
    } else if (phase_ == phase::awaiting_challenge &&
               frame.kind == challenge_kind) {
        take_challenge(frame);
    } else if (phase_ == phase::awaiting_proof && frame.kind == proof_kind) {
        take_proof(frame);
    } else {
        refuse(counters_.refused_malformed);
    }
}

void link::take_hello(const link_frame& frame) {
    if (frame.name.empty() || frame.nonce.size() != link_nonce_bytes) {
        refuse(counters_.refused_malformed);
        return;
    }
    identity_.dialer = frame.name;
    identity_.dialer_nonce = frame.nonce;
    identity_.listener = options_.self_name;
    identity_.listener_nonce = fresh_link_nonce();
    phase_ = phase::awaiting_proof;
    send_opening(challenge_kind, identity_.listener_nonce,
                 listener_proof(options_.shared_key, identity_));
}

void link::take_challenge(const link_frame& frame) {
    if (frame.nonce.size() != link_nonce_bytes) {
        refuse(counters_.refused_malformed);
        return;
    }
    identity_.listener = frame.name;
    identity_.listener_nonce = frame.nonce;
    // Addresses are used again: another instance may by now listen where the
    // one we look for did.
    const bool is_expected = origin_.expected_peer.empty()
                                 ? frame.name != options_.self_name
                                 : frame.name == origin_.expected_peer;
    const auto wanted = listener_proof(options_.shared_key, identity_);
    if (!is_expected || !same_secret(to_text(frame.payload), wanted)) {
        refuse(counters_.refused_unauthenticated);
        return;
    }
    send_opening(proof_kind, "", dialer_proof(options_.shared_key, identity_));
    peer_ = identity_.listener;
    const auto keys = derive_link_keys(options_.shared_key, identity_);
    send_key_ = keys.dialer_to_listener;
    receive_key_ = keys.listener_to_dialer;
    become_ready();
}

void link::take_proof(const link_frame& frame) {
    const auto wanted = dialer_proof(options_.shared_key, identity_);
    if (!same_secret(to_text(frame.payload), wanted)) {
        refuse(counters_.refused_unauthenticated);
        return;
    }
    limit_receive_buffer(origin_.descriptor, proven_receive_buffer);
    peer_ = identity_.dialer;
    const auto keys = derive_link_keys(options_.shared_key, identity_);
    send_key_ = keys.listener_to_dialer;
    receive_key_ = keys.dialer_to_listener;
    become_ready();
}

void link::become_ready() {
    phase_ = phase::ready;
    websocket_->limit_messages(options_.message_limit + frame_overhead);
    ++counters_.links_opened;
    handlers_.on_ready();
}

void link::take_message(const std::string& message) {
    if (message.size() < link_tag_bytes) {
        refuse(counters_.refused_malformed);
        return;
    }
    // The tag is checked before anything is decoded.
    const auto size = message.size() - link_tag_bytes;
    const auto tag = link_tag(receive_key_, as_bytes(message), size);
    if (!same_secret(message.substr(size), tag)) {
        refuse(counters_.refused_unauthenticated);
        return;
    }
    const auto frame = decode_link_frame(as_bytes(message), size);
    if (!frame) {
        refuse(counters_.refused_malformed);
        return;
    }
    // A message said twice or out of its place was recorded and sent again by
    // somebody between us; it shows as a number that is not the next.
    if (frame.value().sequence != received_) {
        refuse(counters_.refused_replayed);
        return;
    }
    ++received_;
    ++counters_.messages_in;
    handlers_.on_message(frame.value().kind, frame.value().payload);
}

bool link::send(const std::string& kind, link_bytes payload) {
    if (phase_ != phase::ready) {
        return false;
    }
    link_frame frame;
    frame.kind = kind;
    frame.sequence = sent_++;
    frame.payload = std::move(payload);
    auto bytes = encode_link_frame(frame);
    const auto tag = link_tag(send_key_, bytes.data(), bytes.size());
    bytes.insert(bytes.end(), tag.begin(), tag.end());
    websocket_->send(bytes);
    ++counters_.messages_out;
    return phase_ == phase::ready;
}

void link::refuse(std::uint64_t& counter) {
    if (phase_ != phase::closed) {
        ++counter;
        close();
    }
}

void link::close() {
    if (phase_ == phase::closed) {
        return;
    }
    if (phase_ == phase::ready) {
        ++counters_.links_closed;
    } else if (origin_.dialed) {
        ++counters_.connects_failed;
    }
    phase_ = phase::closed;
    count_bytes();
    socket_->close();
    // The websocket may be further up this call's stack; the hub destroys
    // the link from the loop.
    handlers_.on_closed();
}

void link::forgive_silence(duration stopped_for, time_point now) {
    heard_ = std::min(heard_ + stopped_for, now);
    if (!ready()) {
        opened_ = std::min(opened_ + stopped_for, now);
    }
}

void link::tick(time_point now) {
    if (phase_ == phase::closed) {
        return;
    }
    if (!ready()) {
        if (now - opened_ > options_.handshake_timeout) {
            close();
        }
        return;
    }
    count_bytes();
    if (socket_->bytes_in() != heard_bytes_) {
        heard_bytes_ = socket_->bytes_in();
        heard_ = now;
    }
    // Something between the ends may have lost track of the connection: what
    // we send is swallowed and no error ever comes. Only silence shows it.
    if (now - heard_ > options_.silence_limit) {
        ++counters_.dropped_silent;
        close();
        return;
    }
    if (now - pinged_ >= options_.keepalive) {
        pinged_ = now;
        websocket_->ping();
    }
}

} // namespace waxwingvale::io
