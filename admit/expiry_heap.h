#pragma once

#include <stdint.h>

/* Binary heap of waiting items by their latest start.  Each item holds its
   own index, so that a cancelled item leaves in O(log n).  */

struct admit_item;

struct expiry_heap
{
  struct admit_item **items;
  uint32_t count;
  uint32_t capacity;
};

/* Makes room for CAPACITY items, owned by the talloc context PARENT.  Returns
   0 or ERR_NOMEM.  Never shrinks.  */
int expiry_heap_reserve (struct expiry_heap *heap, void *parent,
                         uint32_t capacity);

/* The caller ensures by expiry_heap_reserve that there is room.  */
void expiry_heap_push (struct expiry_heap *heap, struct admit_item *item);
void expiry_heap_remove (struct expiry_heap *heap, struct admit_item *item);

/* Restores the order after the item's expiry changed.  */
void expiry_heap_update (struct expiry_heap *heap, struct admit_item *item);

static inline struct admit_item *
expiry_heap_top (const struct expiry_heap *heap)
{
  return heap->count > 0 ? heap->items[0] : 0;
}
