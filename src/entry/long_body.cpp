#include "entry/long_body.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::entry {

namespace {

// Bytes of a copy that are given out at once.
constexpr std::size_t copied_piece = 64 * 1024;

} // namespace

// The body as one attempt reads it: what was copied first, then what comes.
class long_body::attempt_stream : public forwarding::body_stream {
public:
    explicit attempt_stream(std::shared_ptr<long_body> of)
        : of_(std::move(of)) {}

    ~attempt_stream() override {
        if (is_latest()) {
            of_->latest_ = nullptr;
        }
    }

    std::string take() override {
        if (!is_latest()) {
            return {};
        }
        if (at_ < of_->copy_.size()) {
            auto piece = of_->copy_.substr(at_, copied_piece);
            at_ += piece.size();
            return piece;
        }
        auto bytes = of_->take_new();
        at_ = of_->copy_.size();
        return bytes;
    }

    bool complete() const override {
        return is_latest() && at_ >= of_->copy_.size() && of_->complete();
    }

    void on_more(std::function<void()> handler) override {
        if (is_latest()) {
            of_->from_->on_body(std::move(handler));
        }
    }

private:
    bool is_latest() const { return of_->latest_ == this; }

    std::shared_ptr<long_body> of_;
    std::size_t at_ = 0; // bytes of the copy that were given out
};

long_body::long_body(forwarding::caller_exchange_ptr from,
                     std::shared_ptr<copy_budget> budget)
    : from_(std::move(from)), budget_(std::move(budget)) {}

long_body::~long_body() {
    budget_->give_back(copy_.size());
}

std::shared_ptr<forwarding::body_stream> long_body::open() {
    auto opened = std::make_shared<attempt_stream>(shared_from_this());
    latest_ = opened.get();
    return opened;
}

std::string long_body::take_new() {
    auto bytes = from_->take_body();
    if (copy_dropped_ || bytes.empty()) {
        return bytes;
    }
    if (budget_->try_take(copy_.size(), bytes.size())) {
        copy_ += bytes;
    } else {
        drop_copy();
    }
    return bytes;
}

void long_body::drop_copy() {
    copy_dropped_ = true;
    budget_->give_back(copy_.size());
    std::string().swap(copy_);
}

} // namespace waxwingvale::entry
