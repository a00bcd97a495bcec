/// A small table that several tests use.
#ifndef SYCAMORESPAR_TESTS_EXAMPLE_TABLE_HPP
#define SYCAMORESPAR_TESTS_EXAMPLE_TABLE_HPP

#include "operators/table_csv.hpp"

namespace sycamorespar {

/// Two rows and two failure domains at revision 1.
inline table example_table()
{
    auto read = read_table_csv("row,kind,team,weight,processors,"
                               "domain:north,domain:south\n"
                               "*,,,,,in,in\n"
                               "checks,service,desk,10,,in,in\n"
                               "runs,batch,night,2,12.5,out,8\n");
    return first_revision(take(std::move(read)));
}

} // namespace sycamorespar

#endif
