#pragma once

#include <stdint.h>

/* Binary min-heap of waiting items, ordered by latest start time (expiry_us).
   Each item stores its index, so that a cancelled item is removed in
   O(log n).  */

struct admit_item;

struct expiry_heap
{
  struct admit_item **items;
  uint32_t count;
  uint32_t capacity;
};

/* Ensures room for CAPACITY items; the array is allocated under the talloc
   context PARENT.  Returns 0 or ERR_NOMEM.  Never shrinks the array.  */
int expiry_heap_reserve (struct expiry_heap *heap, void *parent,
                         uint32_t capacity);

/* Never allocates: the caller has reserved room with expiry_heap_reserve.  */
void expiry_heap_push (struct expiry_heap *heap, struct admit_item *item);
void expiry_heap_remove (struct expiry_heap *heap, struct admit_item *item);

/* Restores the heap order after a change of the item's expiry_us.  */
void expiry_heap_update (struct expiry_heap *heap, struct admit_item *item);

/* The item with the earliest expiry_us, or NULL.  */
static inline struct admit_item *
expiry_heap_top (const struct expiry_heap *heap)
{
  return heap->count > 0 ? heap->items[0] : 0;
}
