#include "samphirebridge/budget/escrowbook.h"

#include <catch2/catch.hpp>
