#include "samphirebridge/settings/utf8.h"

#include <catch2/catch.hpp>

using samphirebridge::settings::findMalformedText;

TEST_CASE("well-formed characters of one to four bytes are accepted")
{
    CHECK_FALSE(findMalformedText("a\tb\r\n\xC3\xB1 \xE2\x82\xAC \xF0\x9F\x90\x9F"));
    CHECK_FALSE(findMalformedText(""));
}

TEST_CASE("the offset of the first malformed sequence is returned")
{
    CHECK(findMalformedText("ab\xFF") == 2);
    CHECK(findMalformedText("a\x80") == 1);
    CHECK(findMalformedText("\xC0\xAF") == 0);
    CHECK(findMalformedText("\xE0\x80\xAF") == 0);
    CHECK(findMalformedText("\xED\xA0\x80") == 0);
    CHECK(findMalformedText("\xF4\x90\x80\x80") == 0);
    CHECK(findMalformedText("x\xE2\x82") == 1);
}

TEST_CASE("control characters, line separators and noncharacters are refused")
{
    CHECK(findMalformedText(std::string_view("a\0", 2)) == 1);
    CHECK(findMalformedText("\x1b") == 0);
    CHECK(findMalformedText("\xC2\x85") == 0);
    CHECK(findMalformedText("\xE2\x80\xA8") == 0);
    CHECK(findMalformedText("\xEF\xBF\xBF") == 0);
}
