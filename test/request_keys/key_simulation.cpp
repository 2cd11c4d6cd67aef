#include "request_keys/key_simulation.hpp"

#include <algorithm>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace request_keys {
namespace {

constexpr std::size_t instance_count = 3;
constexpr std::size_t max_keys = 6;

const request_fingerprint usual_body{1};
const request_fingerprint other_body{2};

} // namespace

const std::vector<key_simulation::handler>& key_simulation::handlers() {
    // An event that is listed several times is chosen more often.
    static const std::vector<handler> all{
        &key_simulation::issue_key,
        &key_simulation::send_copy,
        &key_simulation::send_copy,
        &key_simulation::send_copy,
        &key_simulation::send_copy,
        &key_simulation::deliver,
        &key_simulation::deliver,
        &key_simulation::deliver,
        &key_simulation::deliver,
        &key_simulation::deliver_duplicate,
        &key_simulation::deliver_duplicate,
        &key_simulation::drop_message,
        &key_simulation::fail_hand_over,
        &key_simulation::start_attempt,
        &key_simulation::start_attempt,
        &key_simulation::refuse_attempt,
        &key_simulation::refuse_attempt,
        &key_simulation::answer_attempt,
        &key_simulation::abandon_attempt,
        &key_simulation::restart_instance,
        &key_simulation::advance_time,
        &key_simulation::caller_leaves,
        &key_simulation::repeat_hand_over_request,
        &key_simulation::change_lifetime,
    };
    return all;
}

key_simulation::key_simulation(const key_fault& fault, event_counts* counts)
    : fault_(fault), counts_(counts) {
    for (std::size_t at = 0; at < instance_count; ++at) {
        model_instance instance;
        instance.id = {"e" + std::to_string(at), 1};
        instance.start(now_, key_fault::small_limits());
        instances_.push_back(std::move(instance));
    }
    issue_key({0, 0, 0, 0});
    issue_key({0, 1, 0, 0});
    keys_.emplace_back("plain");
}

std::string key_simulation::run(const standin::schedule& steps) {
    for (const auto& step : steps) {
        ++step_;
        (this->*handlers()[step.kind % handlers().size()])(step);
        if (!violated_.empty()) {
            return violated_;
        }
    }
    run_to_quiescence();
    return violated_;
}

void key_simulation::issue_key(const standin::step& step) {
    const auto& instance = instances_[step.a % instance_count];
    if (keys_.size() < max_keys) {
        keys_.push_back(instance.store->prefix(now_) + ".phone." +
                        std::to_string(keys_.size()));
    }
}

void key_simulation::send_copy(const standin::step& step) {
    const auto instance = step.a % instance_count;
    model_request request;
    request.key = keys_[step.b % keys_.size()];
    request.body = step.c % 16 == 0 ? other_body : usual_body;
    request.waiter = ++last_waiter_;
    const auto result = fault_.on_request(instances_[instance], request, now_);
    apply_decision(instance, request.key, request.body, request.waiter, result);
}

void key_simulation::apply_decision(std::size_t instance,
                                    const std::string& key,
                                    request_fingerprint body, waiter_id waiter,
                                    const key_decision& result) {
    count_event(std::string("decision ") + name_of(result));
    if (const auto* run = std::get_if<run_here>(&result)) {
        dispatch(instance, key, body, waiter, run->attempt);
    } else if (std::holds_alternative<join_attempt>(result)) {
        parked_[waiter] = {instance, instances_[instance].id.incarnation, key,
                           body};
    } else if (const auto* ask = std::get_if<ask_peer>(&result)) {
        parked_[waiter] = {instance, instances_[instance].id.incarnation, key,
                           body};
        instances_[instance].last_requests[key] = ask->request;
        network_.emplace_back(ask->request);
    } else if (const auto* replay = std::get_if<replay_answer>(&result)) {
        const auto expected = answer_for(key);
        if (!replay->answer || !(*replay->answer == *expected)) {
            violate("a copy got the answer of another request");
        }
    } else if (outcome_of(result) == run_outcome::not_run) {
        record_not_run_report(key, body);
    }
}

void key_simulation::record_not_run_report(const std::string& key,
                                           request_fingerprint body) {
    if (ran_with_[key].count(body) != 0) {
        violate("reported as not run although it had run");
    }
    not_run_at_[{key, body.value}] = step_;
}

void key_simulation::dispatch(std::size_t instance, const std::string& key,
                              request_fingerprint body,
                              std::optional<waiter_id> waiter,
                              std::uint64_t number) {
    model_attempt attempt;
    attempt.instance = instance;
    attempt.incarnation = instances_[instance].id.incarnation;
    attempt.key = key;
    attempt.body = body;
    attempt.number = number;
    attempt.waiter = waiter;
    attempt.sent_at = step_;
    attempts_.push_back(attempt);
}

void key_simulation::apply_effects(std::size_t instance, const std::string& key,
                                   const key_effects& effects) {
    for (const auto& settled : effects.settled) {
        const auto found = parked_.find(settled.waiter);
        if (found == parked_.end() || found->second.key != key) {
            violate("the store settled a copy that was not parked");
            return;
        }
        const auto body = found->second.body;
        parked_.erase(found);
        apply_decision(instance, key, body, settled.waiter, settled.decision);
    }
    for (const auto& message : effects.messages) {
        if (const auto* ask = std::get_if<hand_over_request>(&message)) {
            instances_[instance].last_requests[key] = *ask;
        }
        network_.push_back(message);
    }
}

void key_simulation::deliver_message(const key_message& message) {
    const auto to = std::visit([](const auto& m) { return m.to; }, message);
    const auto key = std::visit([](const auto& m) { return m.key; }, message);
    for (std::size_t at = 0; at < instance_count; ++at) {
        auto& instance = instances_[at];
        if (instance.id.name != to.name) {
            continue;
        }
        if (const auto* ask = std::get_if<hand_over_request>(&message)) {
            apply_effects(at, key,
                          fault_.on_hand_over_request(instance, *ask, now_));
        } else {
            const auto& reply = std::get<hand_over_reply>(message);
            count_event(std::string("reply ") + to_string(reply.kind));
            apply_effects(at, key,
                          fault_.on_hand_over_reply(instance, reply, now_));
        }
    }
}

void key_simulation::deliver(const standin::step& step) {
    if (network_.empty()) {
        return;
    }
    const auto at = static_cast<std::ptrdiff_t>(step.a % network_.size());
    const auto message = network_[static_cast<std::size_t>(at)];
    network_.erase(network_.begin() + at);
    deliver_message(message);
}

void key_simulation::deliver_duplicate(const standin::step& step) {
    if (!network_.empty()) {
        const auto message = network_[step.a % network_.size()];
        deliver_message(message);
    }
}

void key_simulation::drop_message(const standin::step& step) {
    if (!network_.empty()) {
        network_.erase(network_.begin() +
                       static_cast<std::ptrdiff_t>(step.a % network_.size()));
    }
}

void key_simulation::fail_hand_over(const standin::step& step) {
    const auto instance = step.a % instance_count;
    const auto& key = keys_[step.b % keys_.size()];
    apply_effects(instance, key,
                  fault_.on_hand_over_failed(instances_[instance], key,
                                             step.c % 4 == 0, now_));
}

bool key_simulation::alive(const model_attempt& attempt) const {
    return instances_[attempt.instance].id.incarnation == attempt.incarnation;
}

void key_simulation::repeat_hand_over_request(const standin::step& step) {
    const auto& instance = instances_[step.a % instance_count];
    const auto& key = keys_[step.b % keys_.size()];
    if (instance.store->awaits_hand_over(key)) {
        network_.emplace_back(instance.last_requests.at(key));
    }
}

void key_simulation::change_lifetime(const standin::step& step) {
    auto limits = key_fault::small_limits();
    limits.lifetime = std::chrono::seconds(step.b % 2 == 0 ? 10 : 40);
    instances_[step.a % instance_count].store->change_limits(limits);
}

void key_simulation::start_attempt(const standin::step& step) {
    if (attempts_.empty()) {
        return;
    }
    auto& attempt = attempts_[step.a % attempts_.size()];
    if (attempt.started) {
        return;
    }
    attempt.started = true;
    if (++runs_[attempt.key] > 1) {
        violate("a request ran twice");
    }
    ran_with_[attempt.key].insert(attempt.body);
    const auto reported = not_run_at_.find({attempt.key, attempt.body.value});
    if (reported != not_run_at_.end() && reported->second > attempt.sent_at) {
        violate("reported as not run, and an attempt sent before ran later");
    }
}

void key_simulation::refuse_attempt(const standin::step& step) {
    if (attempts_.empty()) {
        return;
    }
    const auto at = static_cast<std::ptrdiff_t>(step.a % attempts_.size());
    const auto attempt = attempts_[static_cast<std::size_t>(at)];
    if (attempt.started) {
        return;
    }
    attempts_.erase(attempts_.begin() + at);
    if (!alive(attempt)) {
        return;
    }
    apply_effects(
        attempt.instance, attempt.key,
        instances_[attempt.instance].store->on_finished(
            attempt.key, attempt.number, run_outcome::not_run, nullptr, now_));
    if (!attempt.reported_unknown) {
        record_not_run_report(attempt.key, attempt.body);
    }
}

answer_ptr key_simulation::answer_for(const std::string& key) const {
    return std::make_shared<const whole_answer>(
        whole_answer{200, {{"X-Key", key}}, "run"});
}

void key_simulation::answer_attempt(const standin::step& step) {
    if (attempts_.empty()) {
        return;
    }
    const auto at = static_cast<std::ptrdiff_t>(step.a % attempts_.size());
    const auto attempt = attempts_[static_cast<std::size_t>(at)];
    if (!attempt.started) {
        return;
    }
    attempts_.erase(attempts_.begin() + at);
    if (alive(attempt)) {
        apply_effects(attempt.instance, attempt.key,
                      instances_[attempt.instance].store->on_finished(
                          attempt.key, attempt.number, run_outcome::ran,
                          answer_for(attempt.key), now_));
    }
}

void key_simulation::abandon_attempt(const standin::step& step) {
    if (attempts_.empty()) {
        return;
    }
    auto& attempt = attempts_[step.a % attempts_.size()];
    if (attempt.reported_unknown || !alive(attempt)) {
        return;
    }
    attempt.reported_unknown = true;
    const auto abandoned = attempt;
    apply_effects(abandoned.instance, abandoned.key,
                  instances_[abandoned.instance].store->on_finished(
                      abandoned.key, abandoned.number, run_outcome::unknown,
                      nullptr, now_));
    if (fault_.resends_unknown()) {
        dispatch(abandoned.instance, abandoned.key, abandoned.body,
                 std::nullopt, abandoned.number);
    }
}

void key_simulation::restart_instance(const standin::step& step) {
    const auto at = step.a % instance_count;
    auto& instance = instances_[at];
    instance.id.incarnation = fault_.next_incarnation(instance.id.incarnation);
    instance.start(now_, key_fault::small_limits());
    for (auto copy = parked_.begin(); copy != parked_.end();) {
        copy =
            copy->second.instance == at ? parked_.erase(copy) : std::next(copy);
    }
}

void key_simulation::advance_time(const standin::step& step) {
    now_ += std::chrono::seconds(step.a % 8 == 0 ? 25 : step.a % 4);
    if (step.b % 2 == 0) {
        instances_[step.c % instance_count].store->tick(now_);
    }
}

void key_simulation::caller_leaves(const standin::step& step) {
    if (parked_.empty()) {
        return;
    }
    const auto chosen = std::next(
        parked_.begin(), static_cast<std::ptrdiff_t>(step.a % parked_.size()));
    instances_[chosen->second.instance].store->on_waiter_gone(
        chosen->second.key, chosen->first);
    parked_.erase(chosen);
}

void key_simulation::run_to_quiescence() {
    // Every hand-over request ends with a reply or a timeout, and every attempt
    // with an answer or at its deadline. After that no copy may remain parked.
    for (unsigned round = 0; round < 200 && violated_.empty(); ++round) {
        deliver({0, 0, 0, 0});
        start_attempt({0, round, 0, 0});
        answer_attempt({0, round, 0, 0});
    }
    for (unsigned instance = 0; instance < instance_count; ++instance) {
        for (unsigned key = 0; key < keys_.size(); ++key) {
            fail_hand_over({0, instance, key, 1});
        }
    }
    for (unsigned at = 0; at < attempts_.size(); ++at) {
        abandon_attempt({0, at, 0, 0});
    }
    if (violated_.empty() && !parked_.empty()) {
        violate("a copy remained parked");
    }
}

void key_simulation::count_event(const std::string& event) {
    if (counts_ != nullptr) {
        ++(*counts_)[event];
    }
}

void key_simulation::violate(const std::string& what) {
    if (violated_.empty()) {
        violated_ = what;
    }
}

} // namespace request_keys
