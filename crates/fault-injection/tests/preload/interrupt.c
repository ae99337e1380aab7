/* Makes calls of a whole process fail with EINTR, those of its runtime included. To be loaded before the C library.
 *
 * One call in INTERRUPT_ONE_IN is interrupted, by a sequence drawn from INTERRUPT_SEED. Without the variables none is.
 * Writes to an eventfd that does not block are left alone: eventfd(2) has EAGAIN and EINVAL for them and nothing else,
 * since only a write that waits can be interrupted.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <unistd.h>

static uint64_t one_in;
static uint64_t seed;
static uint64_t calls;

__attribute__((constructor)) static void read_plan(void)
{
    const char *share = getenv("INTERRUPT_ONE_IN");
    const char *start = getenv("INTERRUPT_SEED");
    one_in = share ? strtoull(share, NULL, 10) : 0;
    seed = start ? strtoull(start, NULL, 10) : 0;
}

/* SplitMix64 of the number of the call. */
static int is_interrupted(void)
{
    if (one_in == 0)
        return 0;
    uint64_t draw = seed + 0x9e3779b97f4a7c15u * __atomic_add_fetch(&calls, 1, __ATOMIC_RELAXED);
    draw = (draw ^ (draw >> 30)) * 0xbf58476d1ce4e5b9u;
    draw = (draw ^ (draw >> 27)) * 0x94d049bb133111ebu;
    draw ^= draw >> 31;
    if (draw % one_in != 0)
        return 0;
    errno = EINTR;
    return 1;
}

#define INTERRUPTED(result, name, parameters, arguments)                  \
    result name parameters                                                \
    {                                                                     \
        static result(*next) parameters;                                  \
        if (!next)                                                        \
            next = (result(*) parameters)dlsym(RTLD_NEXT, #name);         \
        return is_interrupted() ? -1 : next arguments;                    \
    }

INTERRUPTED(ssize_t, read, (int fd, void *buffer, size_t size), (fd, buffer, size))
INTERRUPTED(ssize_t, readv, (int fd, const struct iovec *parts, int count), (fd, parts, count))
INTERRUPTED(ssize_t, writev, (int fd, const struct iovec *parts, int count), (fd, parts, count))
INTERRUPTED(ssize_t, recv, (int fd, void *buffer, size_t size, int flags), (fd, buffer, size, flags))
INTERRUPTED(ssize_t, send, (int fd, const void *buffer, size_t size, int flags), (fd, buffer, size, flags))
INTERRUPTED(ssize_t, sendmsg, (int fd, const struct msghdr *message, int flags), (fd, message, flags))
INTERRUPTED(ssize_t, recvfrom,
            (int fd, void *buffer, size_t size, int flags, struct sockaddr *from, socklen_t *length),
            (fd, buffer, size, flags, from, length))
INTERRUPTED(int, epoll_wait, (int fd, struct epoll_event *events, int count, int timeout),
            (fd, events, count, timeout))

#define MOST_DESCRIPTORS 4096
static char is_eventfd[MOST_DESCRIPTORS];

int eventfd(unsigned int count, int flags)
{
    static int (*next)(unsigned int, int);
    if (!next)
        next = (int (*)(unsigned int, int))dlsym(RTLD_NEXT, "eventfd");
    int fd = next(count, flags);
    if (fd >= 0 && fd < MOST_DESCRIPTORS)
        is_eventfd[fd] = (flags & EFD_NONBLOCK) != 0;
    return fd;
}

ssize_t write(int fd, const void *buffer, size_t size)
{
    static ssize_t (*next)(int, const void *, size_t);
    if (!next)
        next = (ssize_t (*)(int, const void *, size_t))dlsym(RTLD_NEXT, "write");
    int is_spared = fd >= 0 && fd < MOST_DESCRIPTORS && is_eventfd[fd];
    return !is_spared && is_interrupted() ? -1 : next(fd, buffer, size);
}
