// Entry point of every test program; the test cases register themselves.
#define BOOST_TEST_MODULE sapphirestream
#include <boost/test/unit_test.hpp>
