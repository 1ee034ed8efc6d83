#pragma once

namespace cicadahatch::serving {

class answer_assembler;
class answer_writer;
class attempt_runner;
class backend_directory;
class event_queue;
class grant_broker;
class order_driver;
class worker_group;
struct problem;

} // namespace cicadahatch::serving
