/*
 * Preloaded into a balancer, it has single system calls take long, as on a machine that stops there: recv and epoll_wait stall
 * once they have their result, connect before it begins.
 *
 * A recv whose bytes contain "~stallN~" stalls for N milliseconds. With STALL_ONE_IN=K every call named in STALL_CALLS stalls
 * with a chance of one in K, for STALL_MS_MIN to STALL_MS_MAX milliseconds, drawn from STALL_SEED, until there is a file named
 * STALL_OFF. There is one thread.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static const char MARK[] = "~stall";

static uint64_t number_of(const char *name, uint64_t otherwise)
{
    const char *text = getenv(name);
    return text ? strtoull(text, NULL, 10) : otherwise;
}

static void stall(uint64_t ms)
{
    int saved = errno;
    struct timespec left = {ms / 1000, (ms % 1000) * 1000000};
    while (nanosleep(&left, &left) == -1 && errno == EINTR) {
    }
    errno = saved;
}

static uint64_t draw(void)
{
    static uint64_t state;
    if (state == 0)
        state = number_of("STALL_SEED", 1) * 0x9E3779B97F4A7C15u + 1;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state >> 11;
}

static void stall_by_chance(const char *call)
{
    const char *calls = getenv("STALL_CALLS");
    uint64_t one_in = number_of("STALL_ONE_IN", 0);
    const char *off = getenv("STALL_OFF");
    if (!calls || one_in == 0 || !strstr(calls, call) || draw() % one_in != 0)
        return;
    if (off && access(off, F_OK) == 0)
        return;
    uint64_t least = number_of("STALL_MS_MIN", 250), most = number_of("STALL_MS_MAX", 1200);
    stall(least + draw() % (most - least + 1));
}

ssize_t recv(int socket, void *buffer, size_t length, int flags)
{
    static ssize_t (*real)(int, void *, size_t, int);
    if (!real)
        real = dlsym(RTLD_NEXT, "recv");
    ssize_t read = real(socket, buffer, length, flags);
    if (read <= 0 || (flags & MSG_PEEK))
        return read;
    const char *mark = memmem(buffer, read, MARK, sizeof MARK - 1);
    if (mark)
        stall(strtoull(mark + sizeof MARK - 1, NULL, 10));
    stall_by_chance("recv");
    return read;
}

int epoll_wait(int queue, struct epoll_event *events, int most, int timeout)
{
    static int (*real)(int, struct epoll_event *, int, int);
    if (!real)
        real = dlsym(RTLD_NEXT, "epoll_wait");
    int found = real(queue, events, most, timeout);
    if (found > 0)
        stall_by_chance("epoll_wait");
    return found;
}

int connect(int socket, const struct sockaddr *to, socklen_t length)
{
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real)
        real = dlsym(RTLD_NEXT, "connect");
    stall_by_chance("connect");
    return real(socket, to, length);
}
