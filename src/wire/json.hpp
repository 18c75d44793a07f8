// Includes all JSON codecs of the package. New code includes only the codec of the peer that it talks to (cloud, user,
// worker) or of records.
#pragma once
#include "wire/cloud_json.hpp"
#include "wire/decode_error.hpp"
#include "wire/json_fields.hpp"
#include "wire/record_json.hpp"
#include "wire/user_json.hpp"
#include "wire/worker_json.hpp"
