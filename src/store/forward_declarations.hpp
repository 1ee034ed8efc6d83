#pragma once

namespace cicadahatch::store {

class guarded_store;
class resuming_watch;
class key_value_store;
class etcd_store;
class etcd_store_builder;
class vm_list_client;
struct change;
struct change_batch;
struct entry;
struct listing;
struct split_keys;
struct swap_outcome;
struct virtual_machine;

} // namespace cicadahatch::store
