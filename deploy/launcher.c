/* Runs the Python interpreter like its own program does, with the signals that the
 * daemon handles blocked until it handles them: their default action would end the
 * process. The interpreter is loaded after that, since this takes several milliseconds. */

#include <dlfcn.h>
#include <signal.h>
#include <stdio.h>

typedef int (*run_python)(int argc, char **argv);

int main(int argc, char **argv)
{
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGHUP);
    sigaddset(&handled, SIGINT);
    sigaddset(&handled, SIGTERM);
    sigprocmask(SIG_BLOCK, &handled, NULL);

    /* Extension modules use the symbols of the interpreter. */
    void *library = dlopen(PYTHON_LIBRARY, RTLD_NOW | RTLD_GLOBAL);
    run_python run = library ? (run_python)dlsym(library, "Py_BytesMain") : NULL;
    if (run == NULL) {
        fprintf(stderr, "%s\n", dlerror());
        return 1;
    }
    /* The interpreter looks for its modules from where its program is, upwards. */
    argv[0] = PYTHON_PROGRAM;
    return run(argc, argv);
}
