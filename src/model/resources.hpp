// What tasks ask for and machines have.
#pragma once

namespace flintdale::model {

struct Resources {
    double cpus = 0, gpus = 0, memory_gb = 0;
};

}  // namespace flintdale::model
