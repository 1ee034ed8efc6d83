#pragma once

namespace cicadahatch::configuration {

class follower;
class holder;
class snapshot;
struct accepted_service;
struct conflict;
struct difference;
struct publication;
struct publish_report;

} // namespace cicadahatch::configuration
