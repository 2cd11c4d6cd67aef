#pragma once

#include <waxwingvale/model/configuration.hpp>

// A valid configuration of drawn size and content; to be called within a
// property that rapidcheck runs.
waxwingvale::configuration arbitrary_configuration();
