// A controller restarts before its peers notice: delayed messages of its previous incarnation are recognized.
#include "peer/incarnations.hpp"

#include <gtest/gtest.h>

namespace flintdale::test {

using From = peer::Incarnations::From;

TEST(IncarnationsTest, DelayedMessageDoesNotCountForTheNextIncarnation) {
    peer::Incarnations incarnations;
    EXPECT_EQ(incarnations.classify("one", 70, 1), From::next);
    EXPECT_EQ(incarnations.classify("one", 70, 1), From::present);
    EXPECT_EQ(incarnations.classify("one", 65, 4), From::next) << "clocks may go back, so the newer connection decides";
    EXPECT_EQ(incarnations.classify("one", 70, 1), From::previous);
    EXPECT_EQ(incarnations.classify("one", 65, 6), From::present) << "the current incarnation has reconnected";
    EXPECT_EQ(incarnations.classify("one", 70, 3), From::previous);
    EXPECT_EQ(incarnations.classify("one", 65, 4), From::present) << "a delayed message of the current incarnation";
    EXPECT_EQ(incarnations.classify("two", 0, 2), From::next) << "an old version without incarnations";
    EXPECT_EQ(incarnations.classify("two", 0, 5), From::present);
}

}  // namespace flintdale::test
