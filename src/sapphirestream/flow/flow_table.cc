// Chained hash table over a vector of nodes, with one intrusive list per state.
#include "sapphirestream/flow/flow_table.h"

#include <algorithm>

namespace sapphirestream {
namespace {

constexpr std::size_t kInitialChains = 1'024;

}  // namespace

FlowTable::FlowTable(std::size_t capacity)
    : capacity_(capacity), chains_(kInitialChains, kNone) {}

std::uint32_t FlowTable::IndexOf(const FlowRecord& record) const noexcept {
  const auto* node = reinterpret_cast<const Node*>(&record);
  return static_cast<std::uint32_t>(node - nodes_.data());
}

std::uint32_t& FlowTable::Chain(std::uint64_t hash) noexcept {
  return chains_[(hash >> 16) & (chains_.size() - 1)];
}

FlowRecord* FlowTable::Find(const FlowKey& key, std::uint64_t hash) noexcept {
  for (std::uint32_t i = Chain(hash); i != kNone; i = nodes_[i].chain) {
    if (nodes_[i].record.hash == hash && nodes_[i].record.key == key) {
      return &nodes_[i].record;
    }
  }
  return nullptr;
}

FlowRecord* FlowTable::Emplace(const FlowKey& key, std::uint64_t hash,
                               RecordState state, TimePoint now) {
  if (full()) return nullptr;
  if (size_ == chains_.size()) Grow();
  std::uint32_t index = free_;
  if (index != kNone) {
    free_ = nodes_[index].chain;
  } else {
    index = static_cast<std::uint32_t>(nodes_.size());
    nodes_.emplace_back();
  }
  Node& node = nodes_[index];
  node = Node{};
  node.is_used = true;
  node.record.key = key;
  node.record.hash = hash;
  node.record.state = state;
  node.record.last_seen = now;
  node.chain = Chain(hash);
  Chain(hash) = index;
  Link(index);
  ++size_;
  return &node.record;
}

void FlowTable::Touch(FlowRecord& record, RecordState state,
                      TimePoint now) noexcept {
  const std::uint32_t index = IndexOf(record);
  Unlink(index);
  record.state = state;
  record.last_seen = now;
  Link(index);
}

void FlowTable::Erase(FlowRecord& record) noexcept {
  const std::uint32_t index = IndexOf(record);
  Unlink(index);
  std::uint32_t* link = &Chain(record.hash);
  while (*link != index) link = &nodes_[*link].chain;
  *link = nodes_[index].chain;
  nodes_[index].is_used = false;
  nodes_[index].chain = free_;
  free_ = index;
  --size_;
}

FlowRecord* FlowTable::Oldest(RecordState state) noexcept {
  const std::uint32_t head = lists_[static_cast<std::size_t>(state)].head;
  return head == kNone ? nullptr : &nodes_[head].record;
}

FlowRecord* FlowTable::At(std::size_t position) noexcept {
  Node& node = nodes_[position];
  return node.is_used ? &node.record : nullptr;
}

void FlowTable::Link(std::uint32_t index) noexcept {
  Node& node = nodes_[index];
  List& list = lists_[static_cast<std::size_t>(node.record.state)];
  node.previous = list.tail;
  node.next = kNone;
  if (list.tail != kNone) {
    nodes_[list.tail].next = index;
  } else {
    list.head = index;
  }
  list.tail = index;
}

void FlowTable::Unlink(std::uint32_t index) noexcept {
  const Node& node = nodes_[index];
  List& list = lists_[static_cast<std::size_t>(node.record.state)];
  if (node.previous != kNone) {
    nodes_[node.previous].next = node.next;
  } else {
    list.head = node.next;
  }
  if (node.next != kNone) {
    nodes_[node.next].previous = node.previous;
  } else {
    list.tail = node.previous;
  }
}

void FlowTable::Grow() {
  chains_.assign(chains_.size() * 2, kNone);
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].is_used) continue;
    std::uint32_t& head = Chain(nodes_[i].record.hash);
    nodes_[i].chain = head;
    head = i;
  }
}

}  // namespace sapphirestream
