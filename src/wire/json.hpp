// All JSON codecs of the package. New code includes the header of the other end that it speaks to.
#pragma once
#include "wire/cloud_json.hpp"
#include "wire/decode_error.hpp"
#include "wire/json_fields.hpp"
#include "wire/record_json.hpp"
#include "wire/user_json.hpp"
#include "wire/worker_json.hpp"
