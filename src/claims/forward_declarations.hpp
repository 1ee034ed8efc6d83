#pragma once

namespace cicadahatch::claims {

class claim_book;
class claim_book_builder;
class commit_run;
class permit;

struct claim;
struct claim_outcome;
struct claim_request;
struct operation;
struct segment;
struct shard_view;

} // namespace cicadahatch::claims
