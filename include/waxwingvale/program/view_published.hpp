#pragma once

#include <waxwingvale/model/view.hpp>

namespace waxwingvale::program {

// Published on the bus whenever what this entry instance knows has changed.
struct view_published {
    view_ptr now;
};

} // namespace waxwingvale::program
