package join

import "sync"

// shard is a part of a group's flights under a lock of its own.
type shard[K comparable, T any] struct {
	mu      sync.Mutex
	flights map[K]*flight[T]
}

// drop removes a flight unless another one took its place.
func (s *shard[K, T]) drop(key K, f *flight[T]) bool {
	if s.flights[key] != f {
		return false
	}
	delete(s.flights, key)
	return true
}
