// Resources of tasks and machines.
#pragma once

namespace flintdale::model {

// CPU cores, accelerators and gigabytes of memory.
struct Resources {
    double cpus = 0, gpus = 0, memory_gb = 0;
};

}  // namespace flintdale::model
