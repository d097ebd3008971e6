#pragma once

namespace Lovageward::Soak {

/** Serves the platform's store from memory and prints its port. Runs until it is killed. */
int runStoreRole();

}
