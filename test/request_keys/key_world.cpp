#include "request_keys/key_world.hpp"

#include <algorithm>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace request_keys {
namespace {

constexpr std::size_t node_count = 3;
constexpr std::size_t most_keys = 6;

const request_fingerprint usual_body{1};
const request_fingerprint other_body{2};

} // namespace

const std::vector<key_world::handler>& key_world::handlers() {
    // An event that stands here more often is chosen more often.
    static const std::vector<handler> all{
        &key_world::issue_key,       &key_world::send_copy,
        &key_world::send_copy,       &key_world::send_copy,
        &key_world::send_copy,       &key_world::deliver,
        &key_world::deliver,         &key_world::deliver,
        &key_world::deliver,         &key_world::deliver_copy,
        &key_world::deliver_copy,    &key_world::lose,
        &key_world::fail_asking,     &key_world::start_attempt,
        &key_world::start_attempt,   &key_world::refuse_attempt,
        &key_world::refuse_attempt,  &key_world::answer_attempt,
        &key_world::silence_attempt, &key_world::restart_node,
        &key_world::pass_time,       &key_world::caller_goes,
        &key_world::ask_again,       &key_world::change_lifetime,
    };
    return all;
}

key_world::key_world(const key_fault& fault, reached_events* reached)
    : fault_(fault), reached_(reached) {
    for (std::size_t at = 0; at < node_count; ++at) {
        key_node node;
        node.id = {"e" + std::to_string(at), 1};
        node.start(now_, key_fault::small_limits());
        nodes_.push_back(std::move(node));
    }
    issue_key({0, 0, 0, 0});
    issue_key({0, 1, 0, 0});
    keys_.emplace_back("plain");
}

std::string key_world::run(const standin::schedule& steps) {
    for (const auto& of : steps) {
        ++step_;
        (this->*handlers()[of.kind % handlers().size()])(of);
        if (!violated_.empty()) {
            return violated_;
        }
    }
    come_to_rest();
    return violated_;
}

void key_world::issue_key(const standin::step& of) {
    const auto& node = nodes_[of.a % node_count];
    if (keys_.size() < most_keys) {
        keys_.push_back(node.store->prefix(now_) + ".phone." +
                        std::to_string(keys_.size()));
    }
}

void key_world::send_copy(const standin::step& of) {
    const auto node = of.a % node_count;
    model_request request;
    request.key = keys_[of.b % keys_.size()];
    request.body = of.c % 16 == 0 ? other_body : usual_body;
    request.waiter = ++last_waiter_;
    const auto made = fault_.on_request(nodes_[node], request, now_);
    decide(node, request.key, request.body, request.waiter, made);
}

void key_world::decide(std::size_t node, const std::string& key,
                       request_fingerprint body, waiter_id waiter,
                       const key_decision& made) {
    count(std::string("decision ") + name_of(made));
    if (const auto* run = std::get_if<run_here>(&made)) {
        dispatch(node, key, body, waiter, run->attempt);
    } else if (std::holds_alternative<join_attempt>(made)) {
        parked_[waiter] = {node, nodes_[node].id.incarnation, key, body};
    } else if (const auto* ask = std::get_if<ask_peer>(&made)) {
        parked_[waiter] = {node, nodes_[node].id.incarnation, key, body};
        nodes_[node].last_asked[key] = ask->request;
        network_.emplace_back(ask->request);
    } else if (const auto* replay = std::get_if<replay_answer>(&made)) {
        const auto expected = answer_for(key);
        if (!replay->answer || !(*replay->answer == *expected)) {
            violate("a copy got another answer than its own");
        }
    } else if (outcome_of(made) == run_outcome::not_run) {
        told_not_run(key, body);
    }
}

void key_world::told_not_run(const std::string& key, request_fingerprint body) {
    if (ran_with_[key].count(body) != 0) {
        violate("told not run, but it had run");
    }
    not_run_at_[{key, body.value}] = step_;
}

void key_world::dispatch(std::size_t node, const std::string& key,
                         request_fingerprint body,
                         std::optional<waiter_id> waiter,
                         std::uint64_t number) {
    model_attempt attempt;
    attempt.node = node;
    attempt.incarnation = nodes_[node].id.incarnation;
    attempt.key = key;
    attempt.body = body;
    attempt.number = number;
    attempt.waiter = waiter;
    attempt.sent_at = step_;
    attempts_.push_back(attempt);
}

void key_world::settle(std::size_t node, const std::string& key,
                       const key_effects& effects) {
    for (const auto& settled : effects.settled) {
        const auto found = parked_.find(settled.waiter);
        if (found == parked_.end() || found->second.key != key) {
            violate("settled a copy that was not parked");
            return;
        }
        const auto body = found->second.body;
        parked_.erase(found);
        decide(node, key, body, settled.waiter, settled.decision);
    }
    for (const auto& message : effects.messages) {
        if (const auto* ask = std::get_if<hand_over_request>(&message)) {
            nodes_[node].last_asked[key] = *ask;
        }
        network_.push_back(message);
    }
}

void key_world::hand_in(const key_message& message) {
    const auto to = std::visit([](const auto& m) { return m.to; }, message);
    const auto key = std::visit([](const auto& m) { return m.key; }, message);
    for (std::size_t at = 0; at < node_count; ++at) {
        auto& node = nodes_[at];
        if (node.id.name != to.name) {
            continue;
        }
        if (const auto* ask = std::get_if<hand_over_request>(&message)) {
            settle(at, key, fault_.on_hand_over_request(node, *ask, now_));
        } else {
            const auto& reply = std::get<hand_over_reply>(message);
            count(std::string("reply ") + to_string(reply.kind));
            settle(at, key, fault_.on_hand_over_reply(node, reply, now_));
        }
    }
}

void key_world::deliver(const standin::step& of) {
    if (network_.empty()) {
        return;
    }
    const auto at = static_cast<std::ptrdiff_t>(of.a % network_.size());
    const auto message = network_[static_cast<std::size_t>(at)];
    network_.erase(network_.begin() + at);
    hand_in(message);
}

void key_world::deliver_copy(const standin::step& of) {
    if (!network_.empty()) {
        const auto message = network_[of.a % network_.size()];
        hand_in(message);
    }
}

void key_world::lose(const standin::step& of) {
    if (!network_.empty()) {
        network_.erase(network_.begin() +
                       static_cast<std::ptrdiff_t>(of.a % network_.size()));
    }
}

void key_world::fail_asking(const standin::step& of) {
    const auto node = of.a % node_count;
    const auto& key = keys_[of.b % keys_.size()];
    settle(node, key,
           fault_.on_hand_over_failed(nodes_[node], key, of.c % 4 == 0, now_));
}

bool key_world::alive(const model_attempt& attempt) const {
    return nodes_[attempt.node].id.incarnation == attempt.incarnation;
}

void key_world::ask_again(const standin::step& of) {
    const auto& node = nodes_[of.a % node_count];
    const auto& key = keys_[of.b % keys_.size()];
    if (node.store->asking(key)) {
        network_.emplace_back(node.last_asked.at(key));
    }
}

void key_world::change_lifetime(const standin::step& of) {
    auto limits = key_fault::small_limits();
    limits.lifetime = std::chrono::seconds(of.b % 2 == 0 ? 10 : 40);
    nodes_[of.a % node_count].store->change_limits(limits);
}

void key_world::start_attempt(const standin::step& of) {
    if (attempts_.empty()) {
        return;
    }
    auto& attempt = attempts_[of.a % attempts_.size()];
    if (attempt.started) {
        return;
    }
    attempt.started = true;
    if (++runs_[attempt.key] > 1) {
        violate("a key ran twice");
    }
    ran_with_[attempt.key].insert(attempt.body);
    const auto told = not_run_at_.find({attempt.key, attempt.body.value});
    if (told != not_run_at_.end() && told->second > attempt.sent_at) {
        violate("told not run, and an attempt sent before ran later");
    }
}

void key_world::refuse_attempt(const standin::step& of) {
    if (attempts_.empty()) {
        return;
    }
    const auto at = static_cast<std::ptrdiff_t>(of.a % attempts_.size());
    const auto attempt = attempts_[static_cast<std::size_t>(at)];
    if (attempt.started) {
        return;
    }
    attempts_.erase(attempts_.begin() + at);
    if (!alive(attempt)) {
        return;
    }
    settle(attempt.node, attempt.key,
           nodes_[attempt.node].store->on_finished(attempt.key, attempt.number,
                                                   run_outcome::not_run,
                                                   nullptr, now_));
    if (!attempt.reported_unknown) {
        told_not_run(attempt.key, attempt.body);
    }
}

answer_ptr key_world::answer_for(const std::string& key) const {
    return std::make_shared<const whole_answer>(
        whole_answer{200, {{"X-Key", key}}, "run"});
}

void key_world::answer_attempt(const standin::step& of) {
    if (attempts_.empty()) {
        return;
    }
    const auto at = static_cast<std::ptrdiff_t>(of.a % attempts_.size());
    const auto attempt = attempts_[static_cast<std::size_t>(at)];
    if (!attempt.started) {
        return;
    }
    attempts_.erase(attempts_.begin() + at);
    if (alive(attempt)) {
        settle(attempt.node, attempt.key,
               nodes_[attempt.node].store->on_finished(
                   attempt.key, attempt.number, run_outcome::ran,
                   answer_for(attempt.key), now_));
    }
}

void key_world::silence_attempt(const standin::step& of) {
    if (attempts_.empty()) {
        return;
    }
    auto& attempt = attempts_[of.a % attempts_.size()];
    if (attempt.reported_unknown || !alive(attempt)) {
        return;
    }
    attempt.reported_unknown = true;
    const auto silent = attempt;
    settle(silent.node, silent.key,
           nodes_[silent.node].store->on_finished(
               silent.key, silent.number, run_outcome::unknown, nullptr, now_));
    if (fault_.resends_unknown()) {
        dispatch(silent.node, silent.key, silent.body, std::nullopt,
                 silent.number);
    }
}

void key_world::restart_node(const standin::step& of) {
    const auto at = of.a % node_count;
    auto& node = nodes_[at];
    node.id.incarnation = fault_.next_incarnation(node.id.incarnation);
    node.start(now_, key_fault::small_limits());
    for (auto copy = parked_.begin(); copy != parked_.end();) {
        copy = copy->second.node == at ? parked_.erase(copy) : std::next(copy);
    }
}

void key_world::pass_time(const standin::step& of) {
    now_ += std::chrono::seconds(of.a % 8 == 0 ? 25 : of.a % 4);
    if (of.b % 2 == 0) {
        nodes_[of.c % node_count].store->tick(now_);
    }
}

void key_world::caller_goes(const standin::step& of) {
    if (parked_.empty()) {
        return;
    }
    const auto chosen = std::next(
        parked_.begin(), static_cast<std::ptrdiff_t>(of.a % parked_.size()));
    nodes_[chosen->second.node].store->on_waiter_gone(chosen->second.key,
                                                      chosen->first);
    parked_.erase(chosen);
}

void key_world::come_to_rest() {
    // Every asking ends by a reply or by the asker's bound, every attempt by
    // an answer or by its deadline; after that nobody may be left waiting.
    for (unsigned round = 0; round < 200 && violated_.empty(); ++round) {
        deliver({0, 0, 0, 0});
        start_attempt({0, round, 0, 0});
        answer_attempt({0, round, 0, 0});
    }
    for (unsigned node = 0; node < node_count; ++node) {
        for (unsigned key = 0; key < keys_.size(); ++key) {
            fail_asking({0, node, key, 1});
        }
    }
    for (unsigned at = 0; at < attempts_.size(); ++at) {
        silence_attempt({0, at, 0, 0});
    }
    if (violated_.empty() && !parked_.empty()) {
        violate("a copy was left waiting");
    }
}

void key_world::count(const std::string& event) {
    if (reached_ != nullptr) {
        ++(*reached_)[event];
    }
}

void key_world::violate(const std::string& what) {
    if (violated_.empty()) {
        violated_ = what;
    }
}

} // namespace request_keys
