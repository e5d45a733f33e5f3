#include "admit/expiry_heap.h"

#include <stdbool.h>
#include <talloc.h>

#include "admit/admit.h"
#include "base/err.h"

int
expiry_heap_reserve (struct expiry_heap *heap, void *parent, uint32_t capacity)
{
  if (capacity <= heap->capacity)
    return 0;
  struct admit_item **items
      = talloc_realloc (parent, heap->items, struct admit_item *, capacity);
  if (!items)
    return ERR_NOMEM;
  heap->items = items;
  heap->capacity = capacity;
  return 0;
}

static void
set_item (struct expiry_heap *heap, struct admit_item *item, uint32_t index)
{
  heap->items[index] = item;
  item->heap_index = index;
}

static void
sift_up (struct expiry_heap *heap, struct admit_item *item)
{
  uint32_t index = item->heap_index;
  while (index > 0)
    {
      struct admit_item *parent_item = heap->items[(index - 1) / 2];
      if (parent_item->expiry_us <= item->expiry_us)
        break;
      set_item (heap, parent_item, index);
      index = (index - 1) / 2;
    }
  set_item (heap, item, index);
}

static void
sift_down (struct expiry_heap *heap, struct admit_item *item)
{
  uint32_t index = item->heap_index;
  for (;;)
    {
      uint32_t child = 2 * index + 1;
      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && heap->items[child + 1]->expiry_us < heap->items[child]->expiry_us)
        child++;
      if (heap->items[child]->expiry_us >= item->expiry_us)
        break;
      set_item (heap, heap->items[child], index);
      index = child;
    }
  set_item (heap, item, index);
}

void
expiry_heap_push (struct expiry_heap *heap, struct admit_item *item)
{
  set_item (heap, item, heap->count++);
  sift_up (heap, item);
}

void
expiry_heap_update (struct expiry_heap *heap, struct admit_item *item)
{
  sift_up (heap, item);
  sift_down (heap, item);
}

void
expiry_heap_remove (struct expiry_heap *heap, struct admit_item *item)
{
  struct admit_item *last = heap->items[--heap->count];
  if (last == item)
    return;
  set_item (heap, last, item->heap_index);
  expiry_heap_update (heap, last);
}
