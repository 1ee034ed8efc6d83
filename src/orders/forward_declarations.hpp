#pragma once

namespace cicadahatch::orders {

class issuer;
class order_sender;
struct desired_engine;
struct issuer_limits;
struct observed_engine;
struct order;
struct tenure;

} // namespace cicadahatch::orders
