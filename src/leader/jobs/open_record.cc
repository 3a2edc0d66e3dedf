#include "leader/jobs/open_record.h"

namespace seampass::leader {

wire::Json encode_open_record(const wire::Job& job, std::int64_t created_ms) {
  return wire::Json{{"job", wire::to_json(job)}, {"created_ms", created_ms}};
}

OpenRecord decode_open_record(const wire::Json& value) {
  OpenRecord record;
  record.job = wire::job_from(value.at("job"));
  record.created_ms = value.at("created_ms").get<std::int64_t>();
  return record;
}

}  // namespace seampass::leader
