#pragma once

namespace waxwingvale::decision {

// Bounds extra attempts to a fraction of first attempts: each first attempt
// pays in the fraction, each extra one takes a whole token out. Load that is
// already too high is so never multiplied by more than 1 + fraction.
class attempt_budget {
public:
    // `burst` is the most tokens saved up in quiet times; it begins full.
    attempt_budget(double fraction, double burst);

    void on_first_attempt();
    // A fraction of 0 turns extra attempts off, saved-up tokens or not.
    bool can_spend() const { return fraction_ > 0 && tokens_ >= 1.0; }
    // Takes a token; false when there is none.
    bool try_spend();
    // An extra attempt that was paid for and did not take place.
    void give_back();
    void change_fraction(double fraction) { fraction_ = fraction; }
    double tokens() const { return tokens_; }

private:
    void add(double tokens);

    double fraction_;
    double burst_;
    double tokens_;
};

} // namespace waxwingvale::decision
