#pragma once

namespace cicadahatch::orders {

class http_order_sender;
class issuer;
class order_sender;
struct desired_engine;
struct issuer_limits;
struct observed_engine;
struct order;
struct order_permit;
struct issuer_lease;

} // namespace cicadahatch::orders
