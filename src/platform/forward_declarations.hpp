#pragma once

namespace cicadahatch::platform {

class guarded_store;
class resuming_watch;
class store;
class etcd_store;
class etcd_store_builder;
class vm_list_client;
struct change;
struct change_batch;
struct entry;
struct listing;
struct swap_outcome;
struct virtual_machine;

} // namespace cicadahatch::platform
