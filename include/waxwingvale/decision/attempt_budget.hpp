#pragma once

namespace waxwingvale::decision {

// Token bucket that limits extra attempts (retries or hedges) to a fraction of
// first attempts: each first attempt adds `fraction` tokens, each extra attempt
// takes one token. During an overload the extra attempts therefore multiply the
// load by no more than 1 + fraction.
class attempt_budget {
public:
    // `burst` is the largest number of tokens held. The bucket starts full.
    attempt_budget(double fraction, double burst);

    void on_first_attempt();
    // False while the fraction is 0, even if tokens are left: a fraction of 0
    // turns extra attempts off.
    bool can_spend() const { return fraction_ > 0 && tokens_ >= 1.0; }
    // Takes a token if can_spend(); returns whether it did.
    bool try_spend();
    // Returns the token of an extra attempt that was not made after all.
    void refund();
    void change_fraction(double fraction) { fraction_ = fraction; }
    double tokens() const { return tokens_; }

private:
    void add(double tokens);

    double fraction_;
    double burst_;
    double tokens_;
};

} // namespace waxwingvale::decision
