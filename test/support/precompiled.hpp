#pragma once

// Headers that most test programs include; parsed once.

#include "cicadahatch/core"
#include "cicadahatch/http"
#include "cicadahatch/store"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>
