// Records as the version in production stores them in the state service. Tests of an upgrade check
// that this version reads them.
#pragma once

#include <map>
#include <string>

namespace seampass::fakes {

// The stored records by key. The version in production wrote them in its own test environment,
// where a value may have at most 8 KiB. wk-1 is a running array job of 140 tasks. wk-2 is a gang
// for which the leader has sent no start command yet.
inline const std::map<std::string, std::string> kProductionRecords{
    {"open/wk-1",
     R"({"created_ms":1700000000508,"job":{"accelerators":1.0,"apart":false,"barrels":null,"blend":"i","cellar":null,"cpus":4.0,"cuvee_class":"k","due_s":null,"expected_s":9.0,"lent_racks":true,"memory_gb":16.0,"owner_crew":"blue","pours":140,"pull_gb":1.0,"rack_every_s":0.0,"rack_s":0.0,"rank":"normal","ref":"wk-1","shape":"sweep","together":false}})"},
    {"open/wk-2",
     R"({"created_ms":1700000095525,"job":{"accelerators":1.0,"apart":false,"barrels":null,"blend":"i","cellar":null,"cpus":8.0,"cuvee_class":"k","due_s":null,"expected_s":100.0,"lent_racks":true,"memory_gb":16.0,"owner_crew":"blue","pours":3,"pull_gb":1.0,"rack_every_s":0.0,"rack_s":0.0,"rank":"normal","ref":"wk-2","shape":"group","together":true}})"},
    {"work/wk-1/0",
     R"({"attempt":16,"cpus":4.0,"finished":"ffffffffffffffffffffffffffffffff","gpus":1.0,"memory":16.0,"of":140,"tasks":[],"team":"blue"})"},
    {"work/wk-1/1",
     R"({"attempt":17,"cpus":4.0,"gpus":1.0,"memory":16.0,"of":140,"tasks":[[128,16,"m-000001",1],[129,16,"m-000001",1],[130,17,"m-000002",1],[131,17,"m-000002",1],[132,17,"m-000003",1],[133,17,"m-000003",1],[134,17,"m-000004",1],[135,17,"m-000004",1],[136,17,"m-000005",1],[137,17,"m-000005",1],[138,17,"m-000006",1],[139,17,"m-000006",1]],"team":"blue"})"},
    {"work/wk-2/0",
     R"({"attempt":1,"cpus":8.0,"gpus":1.0,"memory":16.0,"of":3,"tasks":[[0,1,"m-000009",1],[1,1,"m-000010",1],[2,1,"m-000007",1]],"team":"blue"})"},
};

}  // namespace seampass::fakes
