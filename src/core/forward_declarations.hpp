#pragma once

namespace cicadahatch {

class clock;
class manual_clock;
class system_clock;
class random_source;

template <class Tag>
class name_id;

template <class Tag, class Value>
class number_id;

template <class Id, class Row>
class table;

} // namespace cicadahatch
