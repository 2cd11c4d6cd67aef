#include <catch2/catch.hpp>

#include <string>

#include "io/json_parts.hpp"

using namespace waxwingvale;

namespace {

constexpr std::size_t many = 1000;

std::vector<std::string> elements_of(const std::string& text) {
    const auto cut = io::cut_list(text, "items", many);
    REQUIRE(cut);
    return {cut->elements.begin(), cut->elements.end()};
}

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE("the elements of a list are cut out of an object") {
    const auto cut = io::cut_list(" {\"a\": [1, {\"items\": [2]}], \"items\" : "
                                  "[ 1 ,\"x,]\", {\"b\":[]}\n],"
                                  "\"more\":true} ",
                                  "items", many);
    REQUIRE(cut);
    CHECK(cut->frame ==
          "{\"a\":[1, {\"items\": [2]}],\"items\":[],\"more\":true}");
    CHECK(elements_of("{\"items\":[ 1 ,\"x,]\", {\"b\":[]}\n]}") ==
          std::vector<std::string>{"1", "\"x,]\"", "{\"b\":[]}"});
    CHECK(elements_of("{\"items\":[]}").empty());
    CHECK(io::cut_list("{}", "items", many)->frame == "{}");
}

TEST_CASE("a quote ends a string only where it is not escaped") {
    CHECK(elements_of(R"({"items":["a\"]","b\\","\\\"",""]})") ==
          std::vector<std::string>{R"("a\"]")", R"("b\\")", R"("\\\"")",
                                   R"("")"});
}

// Guards against a text that ends within a part, which would be read past it.
TEST_CASE("what is no object with a list is refused") {
    const std::string whole =
        R"({"items":[{"a":"x\"y"},[1]],"b":{"c":null},"d":-1.5e3})";
    REQUIRE(io::cut_list(whole, "items", many));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        INFO(whole.substr(0, size));
        CHECK_FALSE(io::cut_list(whole.substr(0, size), "items", many));
        CHECK_FALSE(io::cut_fields(whole.substr(0, size)));
    }
    for (const std::string text :
         {"[]", "1", "{\"items\":[1,]}", "{\"items\":[,1]}",
          "{\"items\":[1 2]}", "{items:[]}", "{\"items\"[]}", "{\"items\":[]},",
          "{}}", "{,}"}) {
        INFO(text);
        CHECK_FALSE(io::cut_list(text, "items", many));
    }
}

// Guards against memory and time that grow with the depth and number of what
// anybody may write.
TEST_CASE("a list too deep or too long is refused") {
    CHECK(io::cut_list("{\"items\":[" + nested(64) + "]}", "items", many));
    CHECK_FALSE(
        io::cut_list("{\"items\":[" + nested(65) + "]}", "items", many));
    CHECK_FALSE(
        io::cut_list("{\"a\":" + std::string(1'000'000, '['), "items", many));
    std::string ones = "1";
    for (std::size_t i = 1; i < many; ++i) {
        ones += ",1";
    }
    CHECK(io::cut_list("{\"items\":[" + ones + "]}", "items", many));
    CHECK_FALSE(io::cut_list("{\"items\":[" + ones + ",1]}", "items", many));
}

// Guards against a tree that is built of a text before its depth is looked at.
TEST_CASE("the extent of a text is known without a tree") {
    using io::extent_of;
    using io::json_extent;
    CHECK(extent_of(nested(64), many) == json_extent::fits);
    CHECK(extent_of(nested(65), many) == json_extent::too_deep);
    CHECK(extent_of(std::string(8000, '{'), many) == json_extent::too_deep);
    const std::string brackets(100, '[');
    CHECK(extent_of("\"\\\"" + brackets + "\"", many) == json_extent::fits);
    CHECK(extent_of("[\"" + brackets + "\",[1]]", 4) == json_extent::fits);
    CHECK(extent_of(R"({"a":1,"b":{"c":2}})", 4) == json_extent::fits);
    CHECK(extent_of(R"({"a":1,"b":{"c":2}})", 3) ==
          json_extent::too_many_values);
    CHECK(extent_of("[1,2,3]", 3) == json_extent::too_many_values);
    CHECK(extent_of("]]]1", 1) == json_extent::fits);
    CHECK(extent_of("", 1) == json_extent::fits);
    CHECK(extent_of("\"no end", 1) == json_extent::fits);
}

TEST_CASE("the fields of an object are cut apart") {
    const auto fields =
        io::cut_fields(R"({"Key": "a/b", "Value":"eA==","Revision" :12,)"
                       R"("x":{"Key":[]}})");
    REQUIRE(fields);
    REQUIRE(fields->size() == 4);
    CHECK(fields->at(0).name == "Key");
    CHECK(fields->at(0).value == "\"a/b\"");
    CHECK(fields->at(2).value == "12");
    CHECK(fields->at(3).value == R"({"Key":[]})");
    std::string text = "{\"a\":1";
    for (int i = 1; i < 64; ++i) {
        text += ",\"a\":1";
    }
    CHECK(io::cut_fields(text + "}"));
    CHECK_FALSE(io::cut_fields(text + ",\"a\":1}"));
}
