/// Defines the main function of each test program through Boost.Test.
#define BOOST_TEST_MODULE dewcrank
#include <boost/test/unit_test.hpp>
